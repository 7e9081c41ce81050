package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"knapweedstall/platform/platformtest"
)

// injectCallerFault injects one random fault of callers, of the limits of their requests or of
// answers without a length, or none.
func (s *soakRun) injectCallerFault() {
	inst := s.instances[s.callers.IntN(len(s.instances))]
	target := s.targets[s.callers.IntN(len(s.targets))]
	switch s.callers.IntN(8) {
	case 0:
		s.changeLimits()
	case 1:
		target.SetBreakOff(s.callers.Float64())
	case 2:
		target.SetBreakOff(0)
	case 3:
		s.leave(inst, time.Duration(s.callers.IntN(60))*time.Millisecond)
	case 4:
		s.sendLargeHeader(inst)
	}
}

// changeLimits writes a configuration with other limits, all of which allow the requests of
// runCaller.
func (s *soakRun) changeLimits() {
	s.store.SetLimits(platformtest.Limits{
		HeaderBytes: 4096 << s.callers.IntN(5), BodyBytes: 4096 << s.callers.IntN(5),
		HeaderTimeoutMS: 1000 + s.callers.IntN(4000), IdleTimeoutMS: 3000 + s.callers.IntN(9000),
	})
	s.writeNextConfig()
}

// largeHeader is more than the lowest limit that changeLimits sets, and less than the highest.
const largeHeader = 30_000

// sendLargeHeader sends a request with a large header and checks that its answer, which may be a
// rejection, is whole.
func (s *soakRun) sendLargeHeader(inst *instance) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.callerAddr+"/search/large", strings.NewReader(""))
	if err != nil {
		s.t.Error(err)
		return
	}
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("large-%d", s.lastRequest.Add(1)))
	r.Header.Set("X-Fill", strings.Repeat("h", largeHeader))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return // the instance is down or frozen
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge && resp.ContentLength != 0 {
		s.t.Errorf("a rejection with a length of %d, want 0", resp.ContentLength)
	}
}

// leave sends a search and leaves after a time.
func (s *soakRun) leave(inst *instance, after time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: max(after, time.Millisecond)}
	s.sendRequest(client, inst, "/search/")
}
