package soak

import (
	"fmt"
	"maps"
	"net"
	"strings"
	"time"

	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

// Numbers of entries that the soak leaves in the store.
const (
	oddEntries    = 4
	lostInstances = 20
)

// injectEntryFault injects one random fault of the entries in the store or of callers, or
// none.
func (s *soakRun) injectEntryFault() {
	switch s.entries.IntN(8) {
	case 0:
		s.putOddEntry()
	case 1:
		s.store.Delete(platform.KindTargets, s.oddName())
	case 2:
		s.registerLostInstance()
	case 3:
		s.closeSendingSide(s.instances[s.entries.IntN(len(s.instances))])
	}
}

func (s *soakRun) oddName() string { return fmt.Sprint("odd-", s.entries.IntN(oddEntries)) }

// putOddEntry writes an entry among those of the targets as another writer may: it names
// no target.
func (s *soakRun) putOddEntry() {
	entry := map[string]any{
		"backend": "once", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "concurrency": 2, "state": "ready", "coldMs": 0, "sequence": 1,
	}
	changes := []map[string]any{
		{"concurrency": 0}, {"concurrency": -3}, {"concurrency": 1e300}, {"address": "127.0.0.1:70000"}, {"address": "127.0.0.1:0"},
		{"backend": []any{"once"}}, {"state": "resting"}, {"coldMs": "soon"}, {"zone": nil}, {"sequence": -1},
	}
	maps.Copy(entry, changes[s.entries.IntN(len(changes))])
	s.store.Put(platform.KindTargets, s.oddName(), entry)
}

// registerLostInstance writes the entry of an instance that was lost without a signal. It
// precedes the others as a source and as a coordinator, and refuses connections.
func (s *soakRun) registerLostInstance() {
	n := s.entries.IntN(lostInstances)
	name, spec := platform.InstanceObject(placing.Instance{
		ID: topology.InstanceID(fmt.Sprint("lost-", n)), Zone: topology.ZoneID(fmt.Sprintf("z%d", n%2)),
		Address: fmt.Sprintf("127.0.0.1:%d", 1+n), Capacity: 9,
	})
	s.store.Put(platform.KindInstances, name, spec)
}

// closeSendingSide sends a search, closes the sending side of the connection, and checks
// that there is no success without digests.
func (s *soakRun) closeSendingSide(inst *instance) {
	c, err := net.DialTimeout("tcp", inst.callerAddr, 200*time.Millisecond)
	if err != nil {
		return // the instance is down
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "GET /search/half HTTP/1.1\r\nHost: %s\r\n%s: half-%d\r\n%s: 1000\r\n\r\n",
		host, platformtest.HeaderRequestID, s.lastRequest.Add(1), platformtest.HeaderDeadline)
	_ = c.(*net.TCPConn).CloseWrite() // the instance may just have ended
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	buf := make([]byte, 4096)
	n, _ := c.Read(buf) // nothing if the instance is frozen
	if text := string(buf[:n]); strings.HasPrefix(text, "HTTP/1.1 200") && !strings.Contains(text, platformtest.HeaderDigests) {
		s.t.Errorf("a caller that closed its sending side got a success without digests:\n%s", text)
	}
}
