package overload

import (
	"cmp"
	"slices"

	"knapweedstall/core/clock"
)

const (
	// demandWeight is the weight of the newest tick in the demand of a class.
	demandWeight = 0.4
	// demandNoise is the decrease of the arrivals in one tick that counts as random.
	demandNoise = 0.2
	// correctionWeight is the weight of one tick in the correction for what gates admit
	// beyond the limit, and minCorrection its lowest value.
	correctionWeight = 0.2
	minCorrection    = 0.5
	// minDemand is the demand below which a class is forgotten.
	minDemand Rate = 0.01
	// usualTime is the time over which the usual demand of a class is averaged.
	usualTime = 60 * clock.Second
	// usualExcess and usualSlack tell how far the demand of a class may exceed its
	// usual demand, times the growth of all classes, until the rest of it yields to
	// the requests of all others. Random variation stays below it.
	usualExcess      = 1.5
	usualSlack  Rate = 2
	// maxUsualGrowth bounds the influence of one tick on the usual demand, since a
	// limit begins only some ticks after the demand has grown.
	maxUsualGrowth = 2
)

// demand is the rate at which requests of a class arrive, and the part of the limit
// that is allotted to it.
type demand struct {
	class    Class
	rate     Rate
	normal   Rate // the part of rate that does not exceed the usual demand
	allotted Rate
}

// demands are the demands of all classes of a group.
type demands struct {
	classes    map[Class]*classDemand
	correction Rate // factor of the limit, for what gates admit beyond it
}

// classDemand is the demand of one class.
type classDemand struct {
	arrived float64 // in the current tick
	rate    Rate    // smoothed
	usual   Rate    // average without a limit; 0 when not known
	age     clock.Duration
}

func newDemands() demands { return demands{classes: map[Class]*classDemand{}, correction: 1} }

// add counts requests of a class.
func (d *demands) add(class Class, n float64) {
	k := d.classes[class]
	if k == nil {
		k = &classDemand{}
		d.classes[class] = k
	}
	k.arrived += n
}

// update ends a tick.
func (d *demands) update(t tick, limit Rate) {
	for class, k := range d.classes {
		latest := t.rate(k.arrived)
		k.rate += demandWeight * (latest - k.rate)
		if limit == 0 && t.bad() < increaseBad {
			k.age += t.length
			if k.usual > 0 && k.age > 4*ReportPeriod {
				latest = min(latest, maxUsualGrowth*k.usual+usualSlack)
			}
			k.usual += (latest - k.usual) * Rate(t.length) / Rate(min(k.age, usualTime))
		}
		if k.arrived == 0 && k.rate < minDemand && k.usual < minDemand {
			delete(d.classes, class)
		}
		k.arrived = 0
	}
	switch admitted := t.rate(t.admitted); {
	case limit == 0:
		d.correction = 1
	case admitted > 0:
		d.correction += correctionWeight * (limit/admitted - 1) * d.correction
		d.correction = min(max(d.correction, minCorrection), 1)
	}
}

// list returns the demands after the tick, ordered by class.
func (d *demands) list(t tick) []demand {
	list := make([]demand, 0, len(d.classes))
	growth := d.growth()
	for class, k := range d.classes {
		if k.rate < minDemand {
			continue
		}
		n := demand{class: class, rate: k.rate, normal: k.rate}
		if k.usual > 0 && k.rate > usualExcess*growth*k.usual+usualSlack {
			n.normal = growth * k.usual
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b demand) int { return a.class.compare(b.class) })
	// The smoothed demands lag while the load changes: too low ones admit too much when
	// a burst begins, too high ones refuse requests at its end although targets are idle.
	scale := t.rate(t.arrived) / max(totalRate(list), minDemand)
	if scale > 1 || scale < 1-demandNoise {
		for i := range list {
			list[i].rate *= scale
			list[i].normal *= scale
		}
	}
	return list
}

// corrected returns the limit to divide, so that as many requests as limit are admitted.
// The correction does not take from the usual demand.
func (d *demands) corrected(limit Rate, list []demand) Rate {
	normal := Rate(0)
	for _, k := range list {
		normal += k.normal
	}
	return max(limit*d.correction, min(limit, normal))
}

// growth returns the factor by which the demand of most classes exceeds the usual one:
// the median, weighted by the usual demand. It is at least 1.
func (d *demands) growth() Rate {
	var known []*classDemand
	for _, k := range d.classes {
		if k.usual > 0 {
			known = append(known, k)
		}
	}
	slices.SortFunc(known, func(a, b *classDemand) int {
		return cmp.Or(cmp.Compare(a.rate/a.usual, b.rate/b.usual), cmp.Compare(a.usual, b.usual))
	})
	total := Rate(0)
	for _, k := range known {
		total += k.usual
	}
	sum := Rate(0)
	for _, k := range known {
		if sum += k.usual; sum >= total/2 {
			return max(1, k.rate/k.usual)
		}
	}
	return 1
}
