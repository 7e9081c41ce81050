package node

import (
	"encoding/json"
	"reflect"

	"knapweedstall/core/message"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
	"knapweedstall/core/trace"
)

// Events and commands with fields of interface types define their own JSON
// encoding, in which the value of such a field is {"type","value"}.

// bodyTypes contains the messages between instances and their names in
// traces.
var bodyTypes = mustRegister([]registration{
	{trace.Register[message.Hello], "hello"},
	{trace.Register[message.Announce], "announce"},
	{trace.Register[message.SubRequest], "subRequest"},
	{trace.Register[message.SubReply], "subReply"},
	{trace.Register[message.CancelSub], "cancelSub"},
	{trace.Register[message.TargetReport], "targetReport"},
	{trace.Register[message.Gossip], "gossip"},
	{trace.Register[message.MemberList], "memberList"},
	{trace.Register[message.TicketsRequest], "ticketsRequest"},
	{trace.Register[message.Tickets], "tickets"},
	{trace.Register[message.TableDigest], "tableDigest"},
	{trace.Register[message.TableBuckets], "tableBuckets"},
	{trace.Register[message.LeaseRenewal], "vouch"},
	{trace.Register[message.EntryNotice], "entryNotice"},
	{trace.Register[message.EntryAck], "entryAck"},
	{trace.Register[message.EntryRead], "entryRead"},
	{trace.Register[message.EntryReadReply], "entryReadReply"},
	{trace.Register[message.RunRequest], "runRequest"},
	{trace.Register[message.RunReply], "runReply"},
	{trace.Register[message.CanaryRequest], "canaryRequest"},
	{trace.Register[message.CanaryVerdict], "canaryVerdict"},
	{trace.Register[message.CanaryNotice], "canaryNotice"},
	{trace.Register[message.NoticeAck], "noticeAck"},
	{trace.Register[message.CanaryEnd], "canaryEnd"},
	{trace.Register[message.CanaryQuery], "canaryQuery"},
	{trace.Register[message.CrashRecords], "crashRecords"},
	{trace.Register[message.CrashReport], "crashReport"},
})

// errorTypes contains the errors of filing a ticket.
var errorTypes = mustRegister([]registration{
	{trace.Register[faultJSON], "fault"},
	{trace.Register[faultsJSON], "faults"},
	{trace.Register[ticket.GapError], "gap"},
	{trace.Register[ticket.AlreadyFiledError], "alreadyFiled"},
	{trace.Register[ticket.ConflictError], "conflict"},
	{trace.Register[ticket.UnavailableError], "unavailable"},
})

// faultJSON is the JSON form of a ticket.FaultError. The scope is omitted if it is
// empty.
type faultJSON struct {
	Scope  *ticket.Scope `json:",omitempty"`
	Path   string
	Code   ticket.FaultCode
	Detail string
}

// faultsJSON is the JSON form of a ticket.FaultsError.
type faultsJSON struct {
	Faults []faultJSON
}

// mustRegister returns a registry of the types. It panics if a name or type occurs
// twice, which is a programming error.
func mustRegister(types []registration) *trace.Registry {
	r := trace.NewRegistry()
	for _, t := range types {
		if err := t.register(r, t.name); err != nil {
			panic(err)
		}
	}
	return r
}

func decodeBody(data json.RawMessage) (message.Body, error) {
	v, err := bodyTypes.Decode(data)
	if err != nil {
		return nil, err
	}
	return v.(message.Body), nil // all registered types implement message.Body
}

type peerReceivedJSON struct {
	From   topology.InstanceRef
	Header message.Header
	Bodies []json.RawMessage
}

// MarshalJSON implements json.Marshaler.
func (e PeerReceived) MarshalJSON() ([]byte, error) {
	w := peerReceivedJSON{From: e.From, Header: e.Header}
	for _, b := range e.Bodies {
		data, err := bodyTypes.Encode(b)
		if err != nil {
			return nil, err
		}
		w.Bodies = append(w.Bodies, data)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *PeerReceived) UnmarshalJSON(data []byte) error {
	var w peerReceivedJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*e = PeerReceived{From: w.From, Header: w.Header}
	for _, raw := range w.Bodies {
		b, err := decodeBody(raw)
		if err != nil {
			return err
		}
		e.Bodies = append(e.Bodies, b)
	}
	return nil
}

type sendPeerJSON struct {
	To   topology.Member
	Body json.RawMessage
}

// MarshalJSON implements json.Marshaler.
func (c SendPeer) MarshalJSON() ([]byte, error) {
	body, err := bodyTypes.Encode(c.Body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(sendPeerJSON{To: c.To, Body: body})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *SendPeer) UnmarshalJSON(data []byte) error {
	var w sendPeerJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	body, err := decodeBody(w.Body)
	*c = SendPeer{To: w.To, Body: body}
	return err
}

type answerTicketJSON struct {
	Call   CallID
	Ticket ticket.Ticket
	Err    json.RawMessage `json:",omitempty"` // omitted if the ticket was accepted
}

// MarshalJSON implements json.Marshaler.
func (c AnswerTicket) MarshalJSON() ([]byte, error) {
	w := answerTicketJSON{Call: c.Call, Ticket: c.Ticket}
	if c.Err != nil {
		var err error
		if w.Err, err = errorTypes.Encode(errorJSON(c.Err)); err != nil {
			return nil, err
		}
	}
	return json.Marshal(w)
}

// errorJSON returns the value of a type in errorTypes that represents the error.
func errorJSON(err error) any {
	switch err := err.(type) {
	case *ticket.FaultError:
		return newFaultJSON(err)
	case *ticket.FaultsError:
		var f faultsJSON
		for _, fault := range err.Faults {
			f.Faults = append(f.Faults, newFaultJSON(fault))
		}
		return f
	default:
		return reflect.Indirect(reflect.ValueOf(err)).Interface()
	}
}

func newFaultJSON(fault *ticket.FaultError) faultJSON {
	f := faultJSON{Path: fault.Path, Code: fault.Code, Detail: fault.Detail}
	if !fault.Scope.IsZero() {
		f.Scope = &fault.Scope
	}
	return f
}

func (f faultJSON) fault() *ticket.FaultError {
	fault := &ticket.FaultError{Path: f.Path, Code: f.Code, Detail: f.Detail}
	if f.Scope != nil {
		fault.Scope = *f.Scope
	}
	return fault
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *AnswerTicket) UnmarshalJSON(data []byte) error {
	var w answerTicketJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*c = AnswerTicket{Call: w.Call, Ticket: w.Ticket}
	if len(w.Err) == 0 {
		return nil
	}
	v, err := errorTypes.Decode(w.Err)
	if err != nil {
		return err
	}
	c.Err = errorFromJSON(v)
	return nil
}

// errorFromJSON returns the error that a value of a type in errorTypes represents.
func errorFromJSON(v any) error {
	switch f := v.(type) {
	case faultJSON:
		return f.fault()
	case faultsJSON:
		faults := &ticket.FaultsError{}
		for _, fault := range f.Faults {
			faults.Faults = append(faults.Faults, fault.fault())
		}
		return faults
	}
	p := reflect.New(reflect.TypeOf(v))
	p.Elem().Set(reflect.ValueOf(v))
	return p.Interface().(error) // pointers to the other registered types implement error
}
