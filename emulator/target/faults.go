package target

import (
	"fmt"

	"knapweedstall/core/message"
)

// Silence says which connections of a server accept bytes and never answer. A
// connection that went silent stays silent until it is closed.
type Silence string

// Values of Silence.
const (
	SilenceNone Silence = ""     // new connections work
	SilenceOpen Silence = "open" // the connections open now go silent, new ones work
	SilenceAll  Silence = "all"  // the connections open now and all new ones are silent
)

// Faults are the ways in which a server misbehaves. The zero value is a
// healthy server.
type Faults struct {
	Silence        Silence             `json:"silence"`
	Draining       bool                `json:"draining"`      // refuse new calls, finish the running ones
	SlowFactor     float64             `json:"slowFactor"`    // multiplies all service times; 0 means 1
	LoseReplyRate  float64             `json:"loseReplyRate"` // share of calls that run and then drop their connection
	HealthLagMS    float64             `json:"healthLagMs"`   // GET /v1/health tells the state of that long ago
	HealthState    message.TargetState `json:"healthState"`   // GET /v1/health claims this state; "" for the truth
	HealthCapacity int                 `json:"healthBears"`   // claimed with HealthState
}

// InvalidFaultsError says that a field of Faults is outside its range.
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

func (f Faults) slowFactor() float64 {
	if f.SlowFactor == 0 {
		return 1
	}
	return f.SlowFactor
}
