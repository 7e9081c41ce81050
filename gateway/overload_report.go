package gateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/overload"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/io/exchange"
)

// overloadTopic is the topic of the reports of admission control.
const overloadTopic = "overload"

// Times of the reports.
const (
	// reportTimeout is the time for the answer to a report, many round trips. Three
	// coordinators are asked before a division becomes invalid.
	reportTimeout = 200 * clock.Millisecond
	// minExclusion and maxExclusion bound how long an instance that has not answered is
	// not asked. The time doubles with each failure. An instance of an older version is
	// not asked for the longest time.
	minExclusion = clock.Second
	maxExclusion = 8 * clock.Second
	// maxAsked is the number of coordinators that one report is sent to, one after the
	// other.
	maxAsked = 3
)

// groupReport is the report of an instance for one group.
type groupReport struct {
	Group  overload.GroupKey `cbor:"1,keyasint"`
	Report overload.Report   `cbor:"2,keyasint"`
}

// reportMessage holds the reports of an instance for groups with the same coordinator.
type reportMessage struct {
	Groups []groupReport `cbor:"1,keyasint"`
}

// groupDivision is the division of one group.
type groupDivision struct {
	Group    overload.GroupKey `cbor:"1,keyasint"`
	Division overload.Division `cbor:"2,keyasint"`
}

// divisionMessage is the answer to a reportMessage.
type divisionMessage struct {
	Groups []groupDivision `cbor:"1,keyasint"`
}

// run reports to the coordinators until ctx is done.
func (c *overloadControl) run(ctx context.Context) {
	timer := time.NewTimer(overload.ReportPeriod.Std())
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.early:
			sleep(ctx, overload.EarlyReport)
		}
		c.report(ctx)
		timer.Reset(overload.ReportPeriod.Std())
	}
}

// report sends the reports that are due.
func (c *overloadControl) report(ctx context.Context) {
	for _, r := range c.dueReports() {
		go c.send(ctx, r)
	}
}

// dueReports returns the reports that are due.
func (c *overloadControl) dueReports() []groupReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	var due []groupReport
	for key, group := range c.groups {
		if group.gate.Due(now) {
			due = append(due, groupReport{Group: key, Report: group.gate.Report(now)})
		}
	}
	return due
}

// send sends a report to the group's first coordinator that is available, and applies
// the answer.
func (c *overloadControl) send(ctx context.Context, r groupReport) {
	payload, err := cbor.Marshal(reportMessage{Groups: []groupReport{r}})
	if err != nil {
		c.g.log.Error("encoding a report of admission failed", "group", r.Group, "err", err)
		return
	}
	for range maxAsked {
		coordinator, ok := c.coordinator(r.Group)
		if !ok {
			break
		}
		answer, err := c.ask(ctx, coordinator, payload)
		if err == nil {
			c.apply(coordinator.ID, answer)
			return
		}
		c.exclude(coordinator.ID, err)
	}
	c.noteAlone(r.Group)
}

// ask sends reports to a coordinator and returns the divisions.
func (c *overloadControl) ask(ctx context.Context, coordinator placing.Instance, payload []byte) (divisionMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Std())
	defer cancel()
	var answer divisionMessage
	data, err := c.g.call(ctx, coordinator, overloadTopic, payload)
	if err != nil {
		return answer, err
	}
	return answer, errors.WithStack(cbor.Unmarshal(data, &answer))
}

// coordinator returns the first coordinator of a group that is not excluded.
func (c *overloadControl) coordinator(key overload.GroupKey) (placing.Instance, bool) {
	ranked := c.g.coordinatorsOf(string(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	for _, in := range ranked {
		if !now.Before(c.excluded[in.ID].until) {
			return in, true
		}
	}
	return placing.Instance{}, false
}

// exclusion tells that an instance is not asked to coordinate.
type exclusion struct {
	until    clock.Time
	duration clock.Duration // doubles with each failure
}

// exclude notes that an instance has not answered a report.
func (c *overloadControl) exclude(id topology.InstanceID, err error) {
	c.g.log.Debug("coordinator of admission does not answer", "coordinator", id, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	for other, e := range c.excluded { // the entries of instances that have left
		if now.Sub(e.until) > maxExclusion {
			delete(c.excluded, other)
		}
	}
	e := exclusion{duration: min(max(2*c.excluded[id].duration, minExclusion), maxExclusion)}
	if unsupported := (*exchange.UnsupportedError)(nil); errors.As(err, &unsupported) {
		e.duration = maxExclusion
	}
	e.until = now.Add(e.duration)
	c.excluded[id] = e
}

// apply puts the divisions of a coordinator in force.
func (c *overloadControl) apply(coordinator topology.InstanceID, answer divisionMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.excluded, coordinator)
	now := c.g.clock.Now()
	for _, d := range answer.Groups {
		group := c.groups[d.Group]
		if group == nil {
			continue
		}
		group.gate.Apply(d.Division, now)
		if group.alone {
			group.alone = false
			c.g.log.Info("coordinator of admission answers again", "group", d.Group, "coordinator", coordinator)
		}
	}
}

// noteAlone notes that no coordinator of the group has answered for so long that this
// instance decides alone.
func (c *overloadControl) noteAlone(key overload.GroupKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if group := c.groups[key]; group != nil && !group.alone && !group.gate.Coordinated(c.g.clock.Now()) {
		group.alone = true
		c.g.log.Info("no coordinator of admission answers", "group", key, "excluded", len(c.excluded))
	}
}

// receive handles the reports of an instance.
func (c *overloadControl) receive(_ context.Context, from topology.InstanceID, payload []byte) ([]byte, error) {
	var m reportMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.WithStack(err)
	}
	answer := c.receiveAll(from, m)
	data, err := cbor.Marshal(answer)
	return data, errors.WithStack(err)
}

// receiveAll adds the reports of an instance and returns the divisions.
func (c *overloadControl) receiveAll(from topology.InstanceID, m reportMessage) divisionMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	var answer divisionMessage
	for _, r := range m.Groups {
		if controller := c.controller(r.Group, now); controller != nil {
			answer.Groups = append(answer.Groups, groupDivision{r.Group, controller.Receive(from, r.Report, now)})
		}
	}
	return answer
}

// controller returns the Controller of a group that this instance coordinates, or nil if
// there are too many. mu must be held.
func (c *overloadControl) controller(key overload.GroupKey, now clock.Time) *overload.Controller {
	if controller := c.coordinated[key]; controller != nil {
		return controller
	}
	for other, controller := range c.coordinated {
		if controller.Idle(now) {
			delete(c.coordinated, other)
		}
	}
	if len(c.coordinated) >= maxGroups {
		return nil
	}
	var controller *overload.Controller
	controller = overload.NewController(overload.WithNotify(func(e overload.Event) {
		c.logEvent(key, e, controller.Instances(), false)
	}))
	c.coordinated[key] = controller
	return controller
}

// logEvent logs a change of a limit. alone tells that it holds for this instance only.
func (c *overloadControl) logEvent(key overload.GroupKey, e overload.Event, instances int, alone bool) {
	c.g.log.Info("limit of admitted requests "+string(e.Change), "group", key, "alone", alone, "limitPerSecond", round(e.Limit), "before", round(e.Before),
		"arrived", round(e.Arrived), "admitted", round(e.Admitted), "inTime", round(e.InTime), "work", round(e.Work),
		"sustained", round(e.Sustained), "badShare", float64(int(100*e.Bad))/100, "instances", instances)
}

// round returns a rate with one decimal.
func round(r overload.Rate) float64 { return float64(int(10*r+0.5)) / 10 }
