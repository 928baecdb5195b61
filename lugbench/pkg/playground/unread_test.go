package playground

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
)

// TestWhatIsNotUnderstoodHarmsOnlyItself stores a configuration with a route of an unknown kind, one whose host cannot be read and an
// organisation that is none. At every VM, also at one that learns from another, all other requests must be served, and what may be
// meant by those entries must not be refused for good. VMs that read the store must count what they do not understand.
func TestWhatIsNotUnderstoodHarmsOnlyItself(t *testing.T) {
	pgr := start(t, 3)
	settle()
	var con map[string]json.RawMessage
	var routes map[string]map[string]any
	var tenants map[string]any
	if err := json.Unmarshal(pgr.Store.Spec("config", "main"), &con); err != nil {
		t.Fatal(err)
	}
	for name, val := range map[string]any{"routes": &routes, "tenants": &tenants} {
		if err := json.Unmarshal(con[name], val); err != nil {
			t.Fatal(err)
		}
	}
	odd := maps.Clone(routes["reads"])
	odd["kind"], odd["pathPrefix"] = "streaming", "/odd/"
	lost := maps.Clone(routes["reads"])
	lost["host"], lost["pathPrefix"] = 7, "/lost/"
	routes["odd"], routes["lost"], tenants["none"] = odd, lost, 7
	for name, val := range map[string]any{"routes": routes, "tenants": tenants, "version": "r2", "colour": "red"} {
		raw, err := json.Marshal(val)
		if err != nil {
			t.Fatal(err)
		}
		con[name] = raw
	}
	raw, err := json.Marshal(con)
	if err != nil {
		t.Fatal(err)
	}
	pgr.Store.PutRaw("config", "main", raw)
	time.Sleep(time.Second)
	for num := range 3 {
		for _, one := range []struct {
			path, key string
			status    int
		}{
			{"/recipes/x", Key, http.StatusOK},
			{"/odd/x", Key, http.StatusOK},
			{"/recipes/x", "", http.StatusUnauthorized},
			{"/recipes/x", "another-key-0123", http.StatusServiceUnavailable},
			{"/lost/x", Key, http.StatusServiceUnavailable},
			{"/nowhere/x", Key, http.StatusNotFound},
		} {
			res := pgr.send(num, http.MethodGet, one.path, fmt.Sprint(num, one.path, one.key), one.key)
			if res.Status != one.status || one.status == http.StatusServiceUnavailable && res.RetryAfter == "" {
				t.Errorf("VM %d responded to %s with %+v, want status %d", num+1, one.path, res, one.status)
			}
		}
	}
	if cnt := pgr.greatestMetric(t, "marigoldlug_store_unread"); cnt != 4 {
		t.Errorf("the VMs do not understand %v parts of the configuration, want 4", cnt)
	}
}

// TestInvalidStatusLinesReachNoCaller has two of six targets send status lines that are none. No caller may get such a status, no order
// may run twice, and most requests must be served, since the other targets take over.
func TestInvalidStatusLinesReachNoCaller(t *testing.T) {
	pgr := start(t, 2)
	settle()
	for num, line := range []string{"HTTP/1.1 000 Nothing", "HTTP/1.1 999 Odd"} {
		pgr.Targets[num].SetFaults(targetfake.Faults{Latency: 20 * time.Millisecond, StatusLine: line})
	}
	served := 0
	for num := range 120 {
		id, method, path := fmt.Sprint("order-", num), http.MethodPost, "/orders/x"
		if num%2 == 0 {
			id, method, path = fmt.Sprint("read-", num), http.MethodGet, "/recipes/x"
		}
		res := pgr.send(num%2, method, path, id, Key)
		switch {
		case res.Status == http.StatusOK && res.Body == targetfake.ResponseBody(id):
			served++
		case res.Status < http.StatusInternalServerError || res.Status > http.StatusGatewayTimeout:
			t.Errorf("%s got %+v", id, res)
		}
	}
	for id, cnt := range pgr.runs() {
		if id[0] == 'o' && cnt > 1 {
			t.Errorf("%s ran %d times", id, cnt)
		}
	}
	if served < 100 {
		t.Errorf("%d of 120 requests were served", served)
	}
}

// greatestMetric returns the greatest value of a metric at any VM.
func (pgr *Playground) greatestMetric(t *testing.T, name string) float64 {
	t.Helper()
	most := 0.0
	for _, address := range pgr.OperatorAddresses {
		rsp, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(raw)) {
			var val float64
			if rest, found := strings.CutPrefix(line, name+" "); found {
				if _, err := fmt.Sscan(rest, &val); err != nil {
					t.Errorf("%s: %v", line, err)
				}
			}
			most = max(most, val)
		}
	}
	return most
}
