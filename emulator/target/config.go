package target

import (
	"math"
	"math/rand/v2"
	"time"

	"knapweedstall/core/topology"
)

// Config is the configuration of a Server, which does not change after NewServer.
// Times are in milliseconds and may have fractions.
type Config struct {
	Target           topology.Target
	Service          topology.ServiceID
	Timing           Timing
	ColdPeriod       ColdPeriod
	StartWarm        bool    // the first start has no cold period
	ConnectMS        float64 // time until a new connection is open
	NetworkMS        float64 // one-way network delay, added before and after each call
	RestartMS        float64 // time from a crash until the server accepts connections again
	RetryMS          int64   // retryAfterMs of refusals; 0 means 50
	CrashText        string  // a query that contains this text crashes the server; "" means DefaultCrashText
	MaxRecordedCalls int     // number of the newest calls that the CallLog keeps; 0 means 100,000
	Corpus           Corpus
	Seed             uint64 // of the random service times and lost replies
	ListenOnFreePort bool   // listen on a free loopback port instead of Target.Address
}

// DefaultCrashText is the text in a query that crashes a server unless
// Config.CrashText is set.
const DefaultCrashText = "!crash"

const (
	defaultRetryMS          = 50
	defaultMaxRecordedCalls = 100_000
)

// Timing is the distribution of service times: BaseMS for each call plus ItemMS for
// each item, multiplied by a lognormal factor and, for a share of the calls, by
// SlowFactor.
type Timing struct {
	BaseMS     float64 `json:"baseMs"`
	ItemMS     float64 `json:"itemMs"`
	Sigma      float64 `json:"sigma"`      // standard deviation of the logarithm; 0 for constant times
	SlowShare  float64 `json:"slowShare"`  // share of slow calls, 0 to 1
	SlowFactor float64 `json:"slowFactor"` // multiplies the times of slow calls
}

// Draw draws the service time of one call with the given number of items.
func (t Timing) Draw(r *rand.Rand, items int) time.Duration {
	d := (t.BaseMS + t.ItemMS*float64(items)) * math.Exp(t.Sigma*r.NormFloat64())
	if r.Float64() < t.SlowShare {
		d *= t.SlowFactor
	}
	return millis(d)
}

// ColdPeriod is the time after a start in which a server handles fewer concurrent
// calls. It ends after Calls answered calls or after MS, whichever is first; a zero
// field sets no end. When both are zero, the server is warm from its start.
type ColdPeriod struct {
	Capacity int     `json:"bears"` // concurrent calls that a cold server handles; one more crashes it
	Calls    int     `json:"calls"`
	MS       float64 `json:"ms"`
}

func (c ColdPeriod) exists() bool { return c.Calls > 0 || c.MS > 0 }

// DefaultConfig returns the configuration of the demo and the measurements: about
// 4 ms for a call, and a cold period with a capacity of one concurrent call.
func DefaultConfig(service topology.ServiceID, target topology.Target) Config {
	return Config{
		Target:     target,
		Service:    service,
		Timing:     Timing{BaseMS: 3.5, ItemMS: 0.5, Sigma: 0.25, SlowShare: 0.01, SlowFactor: 10},
		ColdPeriod: ColdPeriod{Capacity: 1, Calls: 50, MS: 5000},
		StartWarm:  true,
		RestartMS:  500,
	}
}

func (c Config) crashText() string {
	if c.CrashText == "" {
		return DefaultCrashText
	}
	return c.CrashText
}

func (c Config) retryMS() int64 {
	if c.RetryMS == 0 {
		return defaultRetryMS
	}
	return c.RetryMS
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
