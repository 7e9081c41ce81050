package target

import (
	"math"
	"math/rand/v2"
	"time"

	"knapweedstall/core/topology"
)

// Config is the fixed behaviour of a Server. Times are in milliseconds and may
// have fractions.
type Config struct {
	Target           topology.Target
	Service          topology.ServiceID
	Timing           Timing
	ColdPeriod       ColdPeriod
	StartWarm        bool    // the first start skips the cold phase
	ConnectMS        float64 // time that a new connection takes
	NetworkMS        float64 // one-way network delay, added before and after each call
	RestartMS        float64 // time from a crash until the server serves again
	RetryMS          int64   // retryAfterMs of refusals; 0 means 50
	CrashText        string  // a query that contains this text crashes the server; "" means DefaultCrash
	MaxRecordedCalls int     // calls kept by the ledger, the newest; 0 means 100,000
	Corpus           Corpus
	Seed             uint64 // of the service times
	ListenOnFreePort bool   // listen on a free loopback port instead of Target.Address
}

// DefaultCrash is the text that crashes a server unless Config says otherwise.
const DefaultCrashText = "!crash"

const (
	defaultRetryMS   = 50
	defaultKeepCalls = 100_000
)

// Timing is the distribution of service times: a lognormal factor around a
// base for each call plus a cost for each item.
type Timing struct {
	BaseMS     float64 `json:"baseMs"`
	ItemMS     float64 `json:"itemMs"`
	Sigma      float64 `json:"sigma"`      // standard deviation of the logarithm; 0 for constant times
	SlowShare  float64 `json:"slowShare"`  // share of slow calls, 0 to 1
	SlowFactor float64 `json:"slowFactor"` // by which slow calls take longer
}

// Draw returns the service time of one call with the given number of items.
func (t Timing) Draw(r *rand.Rand, items int) time.Duration {
	d := (t.BaseMS + t.ItemMS*float64(items)) * math.Exp(t.Sigma*r.NormFloat64())
	if r.Float64() < t.SlowShare {
		d *= t.SlowFactor
	}
	return millis(d)
}

// Cold is the phase after a start. It ends after Calls completed calls or
// after MS, whichever is first; a zero field sets no end. Without any end the
// server is warm from its start.
type ColdPeriod struct {
	Capacity int     `json:"bears"` // concurrent calls that a cold server survives
	Calls    int     `json:"calls"`
	MS       float64 `json:"ms"`
}

func (c ColdPeriod) exists() bool { return c.Calls > 0 || c.MS > 0 }

// DefaultConfig returns the behaviour used by the demo and measurements: about
// 4 ms for a call, and a cold phase with one concurrent call.
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
