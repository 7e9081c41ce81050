package target

import (
	"fmt"

	"knapweedstall/core/message"
)

// Silence selects the connections of a server that are silent: they accept bytes and
// never answer. A connection that became silent stays so until it is closed.
type Silence string

// Values of Silence.
const (
	SilenceNone Silence = ""     // new connections are not silent
	SilenceOpen Silence = "open" // the open connections become silent, new ones do not
	SilenceAll  Silence = "all"  // the open connections become silent, and so do all new ones
)

// Faults are the faults that a server injects. The zero value injects none.
type Faults struct {
	Silence        Silence             `json:"silence"`
	Draining       bool                `json:"draining"`      // new calls are refused, running calls complete
	SlowFactor     float64             `json:"slowFactor"`    // multiplies all service times; 0 means 1
	LoseReplyRate  float64             `json:"loseReplyRate"` // share of calls that run and whose connection is then closed without a reply
	HealthLagMS    float64             `json:"healthLagMs"`   // age of the state that GET /v1/health reports
	HealthState    message.TargetState `json:"healthState"`   // false state that GET /v1/health reports; "" for the actual state
	HealthCapacity int                 `json:"healthBears"`   // capacity that GET /v1/health reports with HealthState
}

// InvalidFaultsError reports a field of Faults whose value is not allowed.
type InvalidFaultsError struct{ Field string }

// Error implements error.
func (e *InvalidFaultsError) Error() string { return fmt.Sprintf("faults: invalid %s", e.Field) }

// Check returns an *InvalidFaultsError for the first invalid field.
func (f Faults) Check() error {
	switch {
	case f.Silence != SilenceNone && f.Silence != SilenceOpen && f.Silence != SilenceAll:
		return &InvalidFaultsError{"silence"}
	case f.SlowFactor < 0:
		return &InvalidFaultsError{"slowFactor"}
	case f.LoseReplyRate < 0 || f.LoseReplyRate > 1:
		return &InvalidFaultsError{"loseReplyRate"}
	case f.HealthLagMS < 0:
		return &InvalidFaultsError{"healthLagMs"}
	}
	return nil
}

// slowFactor returns SlowFactor with its default.
func (f Faults) slowFactor() float64 {
	if f.SlowFactor == 0 {
		return 1
	}
	return f.SlowFactor
}
