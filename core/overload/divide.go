package overload

import (
	"cmp"
	"slices"
)

const (
	// guaranteedShare is the share of the average service within one workspace
	// priority that every class gets, whatever its route priority and its demand. A
	// workspace must not be served less than a quarter as often as all.
	guaranteedShare = 0.25
	// maxListed is the number of workspaces of one level that a division lists, those
	// with the highest demand. It bounds an answer to about 600 bytes for each level;
	// the workspaces after them have a common share.
	maxListed = 32
	// minListed is the demand from which a workspace is listed. Demands below it are
	// not known well.
	minListed Rate = 2
	// fullShare is the share from which a class counts as admitted in full. Refusing
	// less than the measurement error of the demand is of no use.
	fullShare = 0.995
)

// divide divides the limit among the classes: by priority of the workspaces, then by
// that of the routes, and by max-min fairness within a level. What exceeds the usual
// demand of a class yields to the usual demand of all others, whatever its priority, so
// that a workspace with far more load than usual does not harm others.
func divide(limit Rate, demands []demand) Division {
	normal, excess := slices.Clone(demands), slices.Clone(demands)
	for i, d := range demands {
		normal[i].rate, excess[i].rate = d.normal, d.rate-d.normal
	}
	left := allot(limit, normal)
	allot(left, excess)
	for i := range demands {
		demands[i].allotted = normal[i].allotted + excess[i].allotted
	}
	d := Division{Limit: limit}
	for rest := demands; len(rest) > 0; {
		n := prefix(rest, func(d demand) bool { return d.class.Level == rest[0].class.Level })
		if l := levelShare(rest[:n]); l.Share < fullShare || len(l.Workspaces) > 0 {
			d.Levels = append(d.Levels, l)
		}
		rest = rest[n:]
	}
	return d
}

// allot allots up to limit to the classes, which are ordered, and returns the rest.
func allot(limit Rate, demands []demand) (left Rate) {
	left = limit
	for rest := demands; len(rest) > 0; {
		n := prefix(rest, func(d demand) bool { return d.class.Level.Workspace == rest[0].class.Level.Workspace })
		left = max(0, left-allotPriority(left, rest[:n]))
		rest = rest[n:]
	}
	return left
}

// prefix returns the number of leading demands for which f holds.
func prefix(demands []demand, f func(demand) bool) int {
	n := slices.IndexFunc(demands, func(d demand) bool { return !f(d) })
	if n < 0 {
		return len(demands)
	}
	return n
}

// allotPriority allots up to limit to the classes of one workspace priority and returns
// what it has allotted.
func allotPriority(limit Rate, demands []demand) Rate {
	total := totalRate(demands)
	if total <= limit {
		for i := range demands {
			demands[i].allotted = demands[i].rate
		}
		return total
	}
	guaranteed := guaranteedShare * limit / total
	left := limit * (1 - guaranteedShare)
	for rest := demands; len(rest) > 0; {
		n := prefix(rest, func(d demand) bool { return d.class.Level == rest[0].class.Level })
		left -= allotLevel(left, guaranteed, rest[:n])
		rest = rest[n:]
	}
	return limit
}

// allotLevel allots up to limit to the classes of one level by max-min fairness, in
// addition to the guaranteed part of their demand, and returns the additional part.
func allotLevel(limit, guaranteed Rate, demands []demand) Rate {
	byRate := make([]*demand, len(demands))
	for i := range demands {
		byRate[i] = &demands[i]
	}
	slices.SortStableFunc(byRate, func(a, b *demand) int { return cmp.Compare(a.rate, b.rate) })
	used := Rate(0)
	for i, d := range byRate {
		fair := (limit - used) / Rate(len(byRate)-i)
		extra := max(0, min(fair, d.rate*(1-guaranteed)))
		d.allotted = d.rate*guaranteed + extra
		used += extra
	}
	return used
}

func totalRate(demands []demand) Rate {
	total := Rate(0)
	for _, d := range demands {
		total += d.rate
	}
	return total
}

// levelShare returns the shares of the classes of one level. Classes with little demand
// have a common share, which also holds for classes without recent requests: an instance
// that decides alone sees most workspaces only now and then.
func levelShare(demands []demand) LevelShare {
	l := LevelShare{Level: demands[0].class.Level, Share: 1}
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), a.class.compare(b.class))
	})
	var rate, allotted Rate
	for i, d := range demands {
		switch {
		case i >= maxListed || d.rate < minListed:
			rate += d.rate
			allotted += d.allotted
		case d.allotted < fullShare*d.rate:
			l.Workspaces = append(l.Workspaces, WorkspaceShare{d.class.Workspace, Share(d.allotted / d.rate)})
		default:
			l.Workspaces = append(l.Workspaces, WorkspaceShare{d.class.Workspace, 1})
		}
	}
	if rate > 0 && allotted < fullShare*rate {
		l.Share = Share(allotted / rate)
		return l
	}
	l.Workspaces = slices.DeleteFunc(l.Workspaces, func(w WorkspaceShare) bool { return w.Share == 1 })
	return l
}
