package settings

import (
	"fmt"
	"net/netip"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

// minTokenBytes is the minimum length of a token; shorter tokens can be guessed.
const minTokenBytes = 16

// reportFunc records a fault at path; detail says what is expected there.
type reportFunc func(path string, kind FaultKind, detail string)

// check reports every invalid value.
func (s *Settings) check(r reportFunc) {
	checkRequired(r, "instance", string(s.Instance))
	checkRequired(r, "zone", string(s.Zone))
	checkRequired(r, "region", string(s.Region))
	checkAddress(r, "listen.callers", s.Listen.Callers, true)
	checkAddress(r, "listen.peers", s.Listen.Peers, true)
	checkAddress(r, "listen.operators", s.Listen.Operators, true)
	s.checkListenAddresses(r)
	s.checkPeerAddress(r)
	checkAddress(r, "platform", s.Platform, false)
	s.checkTokens(r)
	s.Limits.check(r)
	s.Timeouts.check(r, s.Limits.DeadlineMS)
	checkLogLevel(r, s.LogLevel)
}

func checkLogLevel(r reportFunc, l LogLevel) {
	switch l {
	case LogDebug, LogInfo, LogWarn, LogError:
	default:
		r("logLevel", KindInvalid, "expected debug, info, warn or error")
	}
}

// checkRequired reports an empty value and returns whether there is one.
func checkRequired(r reportFunc, path, value string) bool {
	if value == "" {
		r(path, KindMissing, "the field is required and must not be empty")
	}
	return value != ""
}

// checkAddress reports any value that is not an IP address with a port. An address
// to listen on may be unspecified (0.0.0.0, [::]) and have port 0.
func checkAddress(r reportFunc, path, value string, listen bool) {
	if !checkRequired(r, path, value) {
		return
	}
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		r(path, KindInvalid, "expected an IP address with a port, such as 10.0.0.7:7101")
	case !listen && (a.Addr().IsUnspecified() || a.Port() == 0):
		r(path, KindInvalid, "expected an address and a port that can be connected to")
	}
}

// checkListenAddresses reports addresses to listen on that are used twice.
func (s *Settings) checkListenAddresses(r reportFunc) {
	seen := map[string]string{}
	for _, l := range []struct{ path, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.peers", s.Listen.Peers}, {"listen.operators", s.Listen.Operators},
	} {
		a, err := netip.ParseAddrPort(l.value)
		if err != nil || a.Port() == 0 {
			continue
		}
		if other, ok := seen[a.String()]; ok {
			r(l.path, KindDuplicate, "the address is also used by "+other)
		}
		seen[a.String()] = l.path
	}
}

// checkPeerAddress reports a peer address that other instances cannot connect to.
// Port 0 is valid when the address is the default, listen.peers, because the process
// then uses the port that it listens on.
func (s *Settings) checkPeerAddress(r reportFunc) {
	if s.PeerAddress == "" {
		return // listen.peers is also missing, which is already reported
	}
	a, err := netip.ParseAddrPort(s.PeerAddress)
	byDefault := s.PeerAddress == s.Listen.Peers
	switch {
	case err != nil && byDefault: // already reported for listen.peers
	case byDefault && a.Addr().IsUnspecified():
		r("peerAddress", KindMissing, "the field is required when listen.peers is an unspecified address")
	case !byDefault:
		checkAddress(r, "peerAddress", s.PeerAddress, false)
	}
}

// checkTokens reports missing, short and repeated tokens.
func (s *Settings) checkTokens(r reportFunc) {
	seen := map[Token]string{}
	token := func(path string, t Token) {
		if !checkRequired(r, path, string(t)) {
			return
		}
		if len(t) < minTokenBytes {
			r(path, KindInvalid, fmt.Sprintf("expected at least %d bytes", minTokenBytes))
		}
		if other, ok := seen[t]; ok {
			r(path, KindDuplicate, "the token is also used by "+other)
		}
		seen[t] = path
	}
	token("adminToken", s.AdminToken)
	token("peerToken", s.PeerToken)
	if len(s.Callers) == 0 {
		r("callers", KindMissing, "at least one caller is required")
	}
	for i, c := range s.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		token(path+".token", c.Token)
		checkRequired(r, path+".tenant", string(c.Workspace))
	}
}

func (l Limits) check(r reportFunc) {
	checkRange(r, "limits.queries", l.Queries, 1, 1_000_000)
	checkRange(r, "limits.connections", l.Connections, 1, 1_000_000)
	checkRange(r, "limits.bodyBytes", l.BodyBytes, 1, 1<<20)
	checkRange(r, "limits.hits", l.Hits, 1, 1_000_000)
	checkRange(r, "limits.deadlineMs", l.DeadlineMS, 1, message.MaxTargetCallDuration)
	checkRange(r, "limits.peerMessageBytes", l.PeerMessageBytes, 1, 64<<20)
}

func (t Timeouts) check(r reportFunc, maxDeadline clock.Duration) {
	checkRange(r, "timeouts.deadlineMs", t.DeadlineMS, 1, max(maxDeadline, 1))
	for _, d := range []struct {
		path  string
		value clock.Duration
	}{
		{"timeouts.readHeaderMs", t.ReadHeaderMS},
		{"timeouts.idleMs", t.IdleMS},
		{"timeouts.peerDialMs", t.PeerDialMS},
		{"timeouts.targetDialMs", t.TargetDialMS},
		{"timeouts.platformCallMs", t.PlatformCallMS},
		{"timeouts.shutdownMs", t.ShutdownMS},
	} {
		checkRange(r, d.path, d.value, 1, clock.Hour)
	}
}

// checkRange reports a value that is not between low and high.
func checkRange[T ~int | ~int64 | ~float64](r reportFunc, path string, value, low, high T) {
	if value < low || value > high {
		r(path, KindInvalid, fmt.Sprintf("expected %v to %v", low, high))
	}
}
