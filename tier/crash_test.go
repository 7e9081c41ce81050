package tier_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"knapweedstall/core/topology"
	"knapweedstall/deployment"
	"knapweedstall/emulator/target"
	"knapweedstall/io/caller"
	"knapweedstall/tier"
)

// search sends one query and returns the status with the answer or the error.
func search(address string, workspace topology.WorkspaceID, collection topology.CollectionID, text string) (int, caller.SearchAnswer, caller.Error) {
	body, _ := json.Marshal(caller.SearchRequest{Collection: collection, Query: text, Limit: 5, DeadlineMS: 1000})
	req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/query", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+tier.Token(workspace))
	var a caller.SearchAnswer
	var e caller.Error
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, a, e
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&a)
	} else {
		_ = json.NewDecoder(resp.Body).Decode(&e)
	}
	return resp.StatusCode, a, e
}

// Guards against a request that crashes one target after another because its caller
// keeps sending it: it must reach at most two targets in the whole tier, and similar
// requests must still be answered.
func TestCrashingRequestReachesAtMostTwoTargets(t *testing.T) {
	d := deployment.Peachline(deployment.WithMaxServices(6))
	tr, err := tier.Start(d, tier.WithInstances(4))
	if err != nil {
		t.Fatal(err)
	}
	defer tr.Close()
	collection, workspace := d.Collections[0].ID, d.Workspaces[0]
	const rounds = 10
	var wg sync.WaitGroup
	for _, address := range tr.Addresses() {
		wg.Go(func() {
			for range rounds {
				search(address, workspace, collection, "amber "+target.DefaultCrashText)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if crashed := tr.Targets.Counts().Outcomes[target.OutcomeCrashed]; crashed < 1 || crashed > 2 {
		t.Errorf("the request crashed %d targets, want 1 or 2", crashed)
	}
	status, _, e := search(tr.Addresses()[0], workspace, collection, "amber "+target.DefaultCrashText)
	if status == http.StatusOK || e.Outcome != caller.OutcomeNotRun {
		t.Errorf("the quarantined request got status %d and error %+v, want outcome notRun", status, e)
	}
	for _, text := range []string{"amber", "amber crash", "amber ! crash"} {
		err := tier.Eventually(5*time.Second, "a similar request is answered", func() bool {
			status, a, _ := search(tr.Addresses()[1], workspace, collection, text)
			return status == http.StatusOK && a.Coverage.Answered == a.Coverage.Total
		})
		if err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}
