// Package settings reads the settings files of the verbs serve and gateway: JSON with
// comments and trailing commas. Unknown fields are rejected, and all faults of a file
// are reported together, each with its path and line.
package settings

import (
	"log/slog"
	"os"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Settings holds what an instance reads when it starts. Everything else is controlled
// by change tickets, which operators file while the tier runs. Fields without a
// default are required.
type Settings struct {
	Instance topology.InstanceID `json:"instance"` // unique among all instances
	Zone     topology.ZoneID     `json:"zone"`     // availability zone that the instance is in
	Region   topology.RegionID   `json:"region"`   // region that the zone is in

	Listen      Listen `json:"listen"`
	PeerAddress string `json:"peerAddress"` // IP address and port at which other instances reach listen.peers; default: listen.peers

	Platform   string   `json:"platform"`   // IP address and port of the platform's object API
	AdminToken Token    `json:"adminToken"` // bearer token of operators
	PeerToken  Token    `json:"peerToken"`  // bearer token of instances, the same for the whole deployment
	Callers    []Caller `json:"callers"`    // at least one; a workspace may have several tokens

	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	LogLevel LogLevel `json:"logLevel"` // debug, info, warn or error; default: info
	Trace    string   `json:"trace"`    // file to record all events and commands in, including callers' queries; default: empty, which records nothing
}

// Listen holds the IP addresses and ports on which the instance listens. Port 0
// takes a free port.
type Listen struct {
	Callers   string `json:"callers"`   // POST /v1/query, /v1/run, health and metrics
	Peers     string `json:"peers"`     // connections from other instances
	Operators string `json:"operators"` // tickets and status
}

// Caller maps a bearer token to the workspace that it authenticates.
type Caller struct {
	Token     Token                `json:"token"` // differs from all other tokens of the file
	Workspace topology.WorkspaceID `json:"tenant"`
}

// Limits bounds the load that one instance accepts. All values are at least 1.
type Limits struct {
	Queries          int            `json:"queries"`          // caller requests in progress; default 4,096
	Connections      int            `json:"connections"`      // open caller connections; default 8,192
	BodyBytes        int            `json:"bodyBytes"`        // size of the body of a caller request, at most 1 MiB; default 64 KiB
	Hits             int            `json:"hits"`             // largest number of hits that a query may ask for; default 1,000
	DeadlineMS       clock.Duration `json:"deadlineMs"`       // longest deadline of a request, at most 2,000; default 2,000
	PeerMessageBytes int            `json:"peerMessageBytes"` // size of a message between instances, at most 64 MiB; default 4 MiB
}

// Timeouts bounds how long the instance waits, in milliseconds. All values are at
// least 1.
type Timeouts struct {
	DeadlineMS     clock.Duration `json:"deadlineMs"`     // deadline of requests that do not set one, at most limits.deadlineMs; default 1,000
	ReadHeaderMS   clock.Duration `json:"readHeaderMs"`   // to read the header of a caller request; default 5,000
	IdleMS         clock.Duration `json:"idleMs"`         // until an idle caller connection is closed; default 60,000
	PeerDialMS     clock.Duration `json:"peerDialMs"`     // to connect to an instance; default 500
	TargetDialMS   clock.Duration `json:"targetDialMs"`   // to connect to a target; default 250
	PlatformCallMS clock.Duration `json:"platformCallMs"` // for one call to the platform; default 1,000
	ShutdownMS     clock.Duration `json:"shutdownMs"`     // for a graceful shutdown; default 30,000
}

// Token is a secret. Its methods String, GoString and LogValue keep it out of logs.
type Token string

// String returns a placeholder.
func (Token) String() string { return "[secret]" }

// GoString returns a placeholder.
func (Token) GoString() string { return "[secret]" }

// LogValue implements slog.LogValuer.
func (Token) LogValue() slog.Value { return slog.StringValue("[secret]") }

// LogLevel is the minimum level of log lines that are written.
type LogLevel string

// Log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Defaults returns the default settings. Required fields are empty.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			Queries:          4096,
			Connections:      8192,
			BodyBytes:        64 << 10,
			Hits:             1000,
			DeadlineMS:       message.MaxTargetCallDuration,
			PeerMessageBytes: 4 << 20,
		},
		Timeouts: Timeouts{
			DeadlineMS:     clock.Second,
			ReadHeaderMS:   5 * clock.Second,
			IdleMS:         clock.Minute,
			PeerDialMS:     500,
			TargetDialMS:   250,
			PlatformCallMS: clock.Second,
			ShutdownMS:     30 * clock.Second,
		},
		LogLevel: LogInfo,
	}
}

// Load reads and checks the file at path. It fails with *FaultsError, or with
// the error of reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.WithStack(err)
	}
	return Parse(data)
}

// Parse reads and checks the content of a settings file. It fails with
// *FaultsError.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	d := newDecoder(data)
	d.decode(&s)
	if s.PeerAddress == "" {
		s.PeerAddress = s.Listen.Peers
	}
	if !d.unreadable {
		s.check(d.report)
	}
	if len(d.faults) > 0 {
		return Settings{}, &FaultsError{Faults: d.sortedFaults()}
	}
	return s, nil
}
