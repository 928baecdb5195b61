package quickstart

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
)

// TestDataPath sends requests of every shape through one fleet.
func TestDataPath(t *testing.T) {
	fle := startFleet(t)
	rel := applyNote(t, fle, fle.Note())
	t.Run("keys", func(t *testing.T) { keysAreRemoved(t, fle) })
	t.Run("malformed", func(t *testing.T) { malformedIsRefused(t, fle) })
	t.Run("cut", func(t *testing.T) { cutAnswersAreSeen(t, fle) })
	t.Run("once", func(t *testing.T) { ordersRunAtMostOnce(t, fle) })
	t.Run("retry", func(t *testing.T) { readsAreRetried(t, fle) })
	t.Run("stream", func(t *testing.T) { bodiesArriveWhole(t, fle) })
	t.Run("withdrawn target", func(t *testing.T) { withdrawnTargetGetsNoWork(t, fle, rel.Version) })
}

func (fle *Fleet) setFaults(fls targetfake.Faults) {
	for _, tgt := range fle.Targets {
		tgt.SetFaults(fls)
	}
}

func (fle *Fleet) runs(name string) int {
	sum := 0
	for _, tgt := range fle.Targets {
		sum += tgt.Runs(name)
	}
	return sum
}

// raw sends bytes to the first VM and returns all that comes back.
func raw(t *testing.T, fle *Fleet, text string) string {
	t.Helper()
	con, err := net.Dial("tcp", fle.VMs[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	if _, err := io.WriteString(con, text); err != nil {
		t.Fatal(err)
	}
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	out, _ := io.ReadAll(con) // What arrived before an error is what counts.
	return string(out)
}

func keysAreRemoved(t *testing.T, fle *Fleet) {
	out := raw(t, fle, "POST /orders?a=1&apiKey="+Key+"&%61piKey="+Key+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+
		"Authorization: Bearer "+Key+"\r\nX-Api-Key: "+Key+"\r\nx-api-key: "+Key+"\r\n"+
		"Cookie: a=b; apiKey="+Key+"; c=d\r\nTrailer: X-Api-Key, Sum\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"4\r\nbody\r\n0\r\nX-Api-Key: "+Key+"\r\nSum: 7\r\nAuthorization: Bearer "+Key+"\r\n\r\n")
	if !strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Fatalf("got %q", out)
	}
	for _, tgt := range fle.Targets {
		for _, hdr := range tgt.Headers() {
			for name, vals := range hdr {
				if strings.Contains(strings.Join(vals, " "), Key) {
					t.Errorf("a target saw the key in %s", name)
				}
			}
		}
		for _, uri := range tgt.URIs() {
			if strings.Contains(uri, Key) {
				t.Errorf("a target saw the key in %s", uri)
			}
		}
	}
	if strings.Contains(out, Key) {
		t.Error("the answer repeats the key")
	}
}

func malformedIsRefused(t *testing.T, fle *Fleet) {
	for name, one := range map[string]struct{ text, want string }{
		"dot segments":    {"GET /recipes/../orders HTTP/1.1\r\nHost: x\r\n", "HTTP/1.1 400"},
		"encoded slash":   {"GET /recipes%2fa HTTP/1.1\r\nHost: x\r\n", "HTTP/1.1 400"},
		"two keys":        {"GET /recipes HTTP/1.1\r\nHost: x\r\nX-Api-Key: one\r\nAuthorization: Bearer two\r\n", "HTTP/1.1 400"},
		"no key":          {"GET /recipes HTTP/1.1\r\nHost: x\r\n", "HTTP/1.1 401"},
		"no route":        {"GET /kilns HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + Key + "\r\n", "HTTP/1.1 404"},
		"too large":       {"POST /orders HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + Key + "\r\nContent-Length: 99999999999\r\n", "HTTP/1.1 413"},
		"bad timeout":     {"GET /recipes HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + Key + "\r\nRequest-Timeout: soon\r\n", "HTTP/1.1 400"},
		"two lengths":     {"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n", "HTTP/1.1 400"},
		"bad transfer":    {"POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n", "HTTP/1.1 501"},
		"long headers":    {"GET /recipes HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n", "HTTP/1.1 431"},
		"no host":         {"GET /recipes HTTP/1.1\r\n", "HTTP/1.1 400"},
		"unknown version": {"GET /recipes HTTP/9.9\r\nHost: x\r\n", "HTTP/1.1 505"},
	} {
		if out := raw(t, fle, one.text+"Connection: close\r\n\r\n"); !strings.HasPrefix(out, one.want) {
			t.Errorf("%s: want %q, got %.60q", name, one.want, out)
		}
	}
	out := raw(t, fle, "POST /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Api-Key: "+Key+"\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
	if strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Errorf("bad chunks got %.60q", out)
	}
}

func cutAnswersAreSeen(t *testing.T, fle *Fleet) {
	fle.setFaults(targetfake.Faults{CutBody: true})
	defer fle.setFaults(targetfake.Faults{})
	if _, err := fle.Request(context.Background(), 0, http.MethodGet, "/recipes/a", Key, "cut"); err == nil {
		t.Error("an answer that was cut short looked whole")
	}
}

func ordersRunAtMostOnce(t *testing.T, fle *Fleet) {
	fle.setFaults(targetfake.Faults{FailEvery: 1})
	defer fle.setFaults(targetfake.Faults{})
	for num := range 20 {
		name := fmt.Sprintf("order-%d", num)
		if ans, err := fle.Request(context.Background(), num%len(fle.VMs), http.MethodPost, "/orders", Key, name); err != nil || ans.Status != http.StatusBadGateway {
			t.Errorf("%s: got %+v, %v", name, ans, err)
		}
		if cnt := fle.runs(name); cnt > 1 {
			t.Errorf("%s ran %d times", name, cnt)
		}
	}
}

func readsAreRetried(t *testing.T, fle *Fleet) {
	fle.Targets[0].SetFaults(targetfake.Faults{FailEvery: 1})
	defer fle.setFaults(targetfake.Faults{})
	for num := range 10 {
		ans, err := fle.Request(context.Background(), num%len(fle.VMs), http.MethodGet, "/recipes/a", Key, "read")
		if err != nil || ans.Status != http.StatusOK {
			t.Errorf("read %d: got %+v, %v", num, ans, err)
		}
	}
}

func bodiesArriveWhole(t *testing.T, fle *Fleet) {
	const size = 3 << 20
	rdr, wrt := io.Pipe()
	go func() {
		for sent := 0; sent < size; sent += 1 << 10 {
			if _, err := wrt.Write(make([]byte, 1<<10)); err != nil {
				return
			}
		}
		_ = wrt.Close()
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+fle.VMs[0].CallerAddress()+"/orders", rdr)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", Key)
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	body, _ := io.ReadAll(rsp.Body)
	if !strings.HasSuffix(string(body), fmt.Sprintf(" %d\n", size)) {
		t.Errorf("got %q", body)
	}
}

func withdrawnTargetGetsNoWork(t *testing.T, fle *Fleet, version uint64) {
	applyNote(t, fle, fmt.Appendf(nil, "release: drain\nbase: %d\nwithdrawn: {targets: [recipe-vault/worker-2]}\n", version))
	before := fle.Targets[1].Count()
	for num := range 30 {
		if ans := read(t, fle, num%len(fle.VMs), "/recipes/a", Key); ans.Status != http.StatusOK {
			t.Errorf("got %+v", ans)
		}
	}
	if after := fle.Targets[1].Count(); after != before {
		t.Errorf("a withdrawn target got %d requests", after-before)
	}
}

// A planned stop cuts no request: those that run finish, and callers on open
// connections are told to close.
func TestStopCutsNoRequest(t *testing.T) {
	fle := startFleet(t)
	applyNote(t, fle, fle.Note())
	fle.setFaults(targetfake.Faults{Latency: 700 * time.Millisecond})
	con, err := net.Dial("tcp", fle.VMs[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	if _, err := io.WriteString(con, "GET /recipes/a HTTP/1.1\r\nHost: x\r\nX-Api-Key: "+Key+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	var wgr sync.WaitGroup
	wgr.Go(func() {
		if err := fle.Stop(); err != nil {
			t.Error(err)
		}
	})
	rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		t.Fatalf("the request was cut: %v", err)
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	if err != nil || rsp.StatusCode != http.StatusOK || !rsp.Close {
		t.Errorf("got status %d, close %v, %q, %v", rsp.StatusCode, rsp.Close, body, err)
	}
	wgr.Wait()
}
