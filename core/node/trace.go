package node

import (
	"encoding/json"
	"io"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/core/trace"
)

// MachineName identifies a Node in the header of a trace.
const MachineName = "node"

// Setup contains the parameters of a Node. It is the setup in the header of a
// trace.
type Setup struct {
	Now        clock.Time      `json:"now"`
	Self       topology.Member `json:"self"`
	Seed       uint64          `json:"seed"`
	UnixOffset int64           `json:"unixOffset"` // wall clock in Unix ms minus Now
	Buckets    int             `json:"buckets"`
	Hedging    bool            `json:"hedging"`
	Admission  bool            `json:"admission"`
	Canary     bool            `json:"canary"`
}

// FromSetup returns a new Node with the parameters in s.
func FromSetup(s Setup) *Node {
	return New(s.Now, s.Self, func(o *options) {
		*o = options{seed: s.Seed, unixOffset: s.UnixOffset, buckets: s.Buckets, hedging: s.Hedging, admission: s.Admission, canary: s.Canary}
	})
}

// SetupError reports that the header of a trace does not describe a Node.
type SetupError struct {
	Machine string
	Err     error // nil if the trace belongs to another state machine
}

// Error implements error.
func (e *SetupError) Error() string {
	if e.Err == nil {
		return "trace belongs to machine " + e.Machine + ", not to a node"
	}
	return "invalid setup of a node: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Err }

// Record returns a recorder that passes events on to n and writes a trace to w. n
// must not have handled an event yet.
func Record(w io.Writer, n *Node, opts ...trace.Option) (*trace.Recorder[Event, Command], error) {
	types, err := NewRegistry()
	if err != nil {
		return nil, err
	}
	setup, err := json.Marshal(n.setup)
	if err != nil {
		return nil, &SetupError{Machine: MachineName, Err: err}
	}
	return trace.NewRecorder[Event, Command](w, types, n, trace.Header{Machine: MachineName, Setup: setup}, opts...)
}

// Replay feeds the events of a trace to a new Node and compares the commands with
// the recorded ones. It returns the number of steps that agree, and the errors of
// trace.Replay.
func Replay(r io.Reader, opts ...trace.Option) (uint64, error) {
	types, err := NewRegistry()
	if err != nil {
		return 0, err
	}
	reader, err := trace.NewReader(r, types, opts...)
	if err != nil {
		return 0, err
	}
	h := reader.Header()
	if h.Machine != MachineName {
		return 0, &SetupError{Machine: h.Machine}
	}
	var s Setup
	if err := json.Unmarshal(h.Setup, &s); err != nil {
		return 0, &SetupError{Machine: h.Machine, Err: err}
	}
	return trace.Replay[Event, Command](reader, FromSetup(s))
}

// NewRegistry returns a registry that contains all events and commands.
func NewRegistry() (*trace.Registry, error) {
	r := trace.NewRegistry()
	return r, Register(r)
}

// Register registers all events and commands under their names in traces. The
// names must never change, so that old traces stay readable.
func Register(r *trace.Registry) error {
	for _, t := range []registration{
		{trace.Register[SearchArrived], "searchArrived"},
		{trace.Register[RunArrived], "runArrived"},
		{trace.Register[CallerDisconnected], "callerGone"},
		{trace.Register[TicketFiled], "ticketFiled"},
		{trace.Register[PeerReceived], "peerReceived"},
		{trace.Register[PeerConnected], "peerConnected"},
		{trace.Register[PeerLost], "peerLost"},
		{trace.Register[TargetAnswered], "targetAnswered"},
		{trace.Register[TargetFailed], "targetFailed"},
		{trace.Register[TargetConnected], "targetConnected"},
		{trace.Register[TargetDisconnected], "targetDisconnected"},
		{trace.Register[ObjectRead], "objectRead"},
		{trace.Register[ObjectWritten], "objectWritten"},
		{trace.Register[ObjectsReceived], "objectsWatched"},
		{trace.Register[StoreFailed], "storeFailed"},
		{trace.Register[MembersListed], "membersListed"},
		{trace.Register[StopRequested], "stopRequested"},
		{trace.Register[Tick], "tick"},
		{trace.Register[AnswerSearch], "answerSearch"},
		{trace.Register[RefuseCall], "refuseCall"},
		{trace.Register[AnswerRun], "answerRun"},
		{trace.Register[AnswerTicket], "answerTicket"},
		{trace.Register[SendPeer], "sendPeer"},
		{trace.Register[CallTarget], "callTarget"},
		{trace.Register[CancelTarget], "cancelTarget"},
		{trace.Register[ReadObject], "readObject"},
		{trace.Register[WriteObject], "writeObject"},
		{trace.Register[WatchStore], "watchStore"},
		{trace.Register[ListObjects], "listObjects"},
		{trace.Register[LogRecord], "logRecord"},
		{trace.Register[Stopped], "stopped"},
	} {
		if err := t.register(r, "node."+t.name); err != nil {
			return err
		}
	}
	return nil
}

// registration is a type to register, and its name.
type registration struct {
	register func(*trace.Registry, string) error
	name     string
}
