package settings

import (
	"os"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Gateway holds the settings that an instance on the platform reads when it starts.
// Fields without a default are required.
type Gateway struct {
	Instance topology.InstanceID `json:"instance"` // unique among all instances
	Zone     topology.ZoneID     `json:"zone"`     // availability zone that the instance is in

	Listen GatewayListen `json:"listen"`
	Store  GatewayStore  `json:"store"`
	Peers  []string      `json:"peers"` // IP addresses and ports of some instances' listen.peers; may be out of date

	Capacity float64 `json:"capacity"` // processor share of the instance, greater than 0

	// NewDeployment tells that the whole deployment starts for the first time. The
	// instance then waits for the others to register. Default: false
	NewDeployment bool `json:"newDeployment"`

	Repeats  RepeatLimit     `json:"repeats"`
	Shutdown GatewayShutdown `json:"shutdown"`

	Rollouts *RolloutLimits `json:"rollouts"` // nil: the deployment has no roll-outs
	Quotas   *QuotaLimits   `json:"quotas"`   // nil: quotas of workspaces are not enforced

	LogLevel LogLevel `json:"logLevel"` // debug, info, warn or error; default: info
}

// GatewayListen holds the IP addresses and ports that the instance listens on.
type GatewayListen struct {
	Callers   string `json:"callers"`   // requests
	Readiness string `json:"readiness"` // readiness checks of the platform's load balancer
	Peers     string `json:"peers"`     // other instances
	Metrics   string `json:"metrics"`   // GET /metrics
}

// GatewayStore holds the address of the platform's store and the time limits within
// which its changes must take effect.
type GatewayStore struct {
	Address     string         `json:"address"`     // IP address and port
	CatchUpMS   clock.Duration `json:"catchUpMs"`   // time from the end of an outage until the newest configuration is known; 1,000 to 600,000
	ConfigDueMS clock.Duration `json:"configDueMs"` // time from the acceptance of a configuration until it is in force; 1,000 to 600,000
}

// RepeatLimit limits the repeats to a service, that is, retries and hedges. All
// instances share the limit.
type RepeatLimit struct {
	WindowSeconds int     `json:"windowSeconds"` // 1 to 600
	Ratio         float64 `json:"ratio"`         // repeats per request in the window, 0 to 1
	Slack         int     `json:"slack"`         // repeats that the window allows in addition, 0 to 1,000,000
}

// RolloutLimits limit what a version that is being rolled out may get before the
// roll-out is completed. All instances share the limits.
type RolloutLimits struct {
	CanaryShare float64        `json:"canaryShare"` // maximum share of a service's requests, greater than 0, at most 1
	CanarySlack float64        `json:"canarySlack"` // requests that the version may get in addition, 0 to 1,000,000
	RollbackMS  clock.Duration `json:"rollbackMs"`  // time after the 50th bad answer until the version gets no requests; 100 to 600,000
}

func (l *RolloutLimits) check(r reportFunc) {
	if l == nil {
		return
	}
	if l.CanaryShare <= 0 || l.CanaryShare > 1 {
		r("rollouts.canaryShare", KindInvalid, "expected more than 0, at most 1")
	}
	checkRange(r, "rollouts.canarySlack", l.CanarySlack, 0, 1_000_000)
	checkRange(r, "rollouts.rollbackMs", l.RollbackMS, 100, 10*clock.Minute)
}

// QuotaLimits tell how exactly the quotas of workspaces are kept. In each window, a
// workspace may get its quota of the window times 1 + Overshoot, plus Slack.
type QuotaLimits struct {
	WindowSeconds float64 `json:"windowSeconds"` // 0.1 to 600
	Overshoot     float64 `json:"overshoot"`     // 0 to 10
	Slack         float64 `json:"slack"`         // requests, 0 to 1,000,000
}

func (l *QuotaLimits) check(r reportFunc) {
	if l == nil {
		return
	}
	checkRange(r, "quotas.windowSeconds", l.WindowSeconds, 0.1, 600)
	checkRange(r, "quotas.overshoot", l.Overshoot, 0, 10)
	checkRange(r, "quotas.slack", l.Slack, 0, 1_000_000)
}

// GatewayShutdown limits the time of a graceful shutdown.
type GatewayShutdown struct {
	GraceSeconds int `json:"graceSeconds"` // from SIGTERM to SIGKILL, 2 to 600
}

// Grace returns the time from SIGTERM to SIGKILL.
func (s GatewayShutdown) Grace() clock.Duration {
	return clock.Duration(s.GraceSeconds) * clock.Second
}

// LoadGateway reads and checks the file at path. It fails with *FaultsError, or
// with the error of reading the file.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, errors.WithStack(err)
	}
	return ParseGateway(data)
}

// ParseGateway reads and checks the content of a settings file. It fails with
// *FaultsError.
func ParseGateway(data []byte) (Gateway, error) {
	s := Gateway{LogLevel: LogInfo}
	d := newDecoder(data)
	d.decode(&s)
	if !d.unreadable {
		s.check(d.report)
	}
	if len(d.faults) > 0 {
		return Gateway{}, &FaultsError{Faults: d.sortedFaults()}
	}
	return s, nil
}

func (s *Gateway) check(r reportFunc) {
	checkRequired(r, "instance", string(s.Instance))
	checkRequired(r, "zone", string(s.Zone))
	checkAddress(r, "listen.callers", s.Listen.Callers, true)
	checkAddress(r, "listen.readiness", s.Listen.Readiness, true)
	checkAddress(r, "listen.peers", s.Listen.Peers, true)
	checkAddress(r, "listen.metrics", s.Listen.Metrics, true)
	checkAddress(r, "store.address", s.Store.Address, false)
	checkRange(r, "store.catchUpMs", s.Store.CatchUpMS, clock.Second, 10*clock.Minute)
	checkRange(r, "store.configDueMs", s.Store.ConfigDueMS, clock.Second, 10*clock.Minute)
	if s.Capacity <= 0 {
		r("capacity", KindInvalid, "expected more than 0")
	}
	checkRange(r, "repeats.windowSeconds", s.Repeats.WindowSeconds, 1, 600)
	if s.Repeats.Ratio < 0 || s.Repeats.Ratio > 1 {
		r("repeats.ratio", KindInvalid, "expected 0 to 1")
	}
	checkRange(r, "repeats.slack", s.Repeats.Slack, 0, 1_000_000)
	checkRange(r, "shutdown.graceSeconds", s.Shutdown.GraceSeconds, 2, 600)
	s.Rollouts.check(r)
	s.Quotas.check(r)
	checkLogLevel(r, s.LogLevel)
}
