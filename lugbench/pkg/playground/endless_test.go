package playground

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/platform/pkg/objects"
)

// endlessTarget answers each request by bytes without end.
type endlessTarget struct {
	lis net.Listener
	// begin returns what comes first in the answer to the request with an ID, and part comes again and again.
	begin func(id string) string
	part  string
}

// startEndlessTarget starts a target and registers it under a name for the service of the playground.
func startEndlessTarget(t *testing.T, pgr *Playground, name, part string, begin func(id string) string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	tgt := &endlessTarget{lis: lis, begin: begin, part: part}
	go tgt.serve()
	if err := pgr.Register(name, lis.Addr().String(), 3); err != nil {
		t.Fatal(err)
	}
}

func (tgt *endlessTarget) serve() {
	for {
		con, err := tgt.lis.Accept()
		if err != nil {
			return
		}
		go tgt.answer(con)
	}
}

func (tgt *endlessTarget) answer(con net.Conn) {
	defer func() { _ = con.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	_, err = io.WriteString(con, tgt.begin(req.Header.Get(objects.Names().Request)))
	for err == nil {
		_, err = io.WriteString(con, tgt.part)
		time.Sleep(endlessPause)
	}
}

// endlessPause is the pause between two parts, without which the targets would take the processors of all others.
const endlessPause = 2 * time.Millisecond

// TestAnswersWithoutEndTakeLittleMemory has targets send bytes without end, 16 MB/s each, in heads and in bodies, while callers
// send requests to one VM. The memory must stay bounded, every response must end within half a second of the
// timeout of its request without looking whole, and most requests must be served by the other targets.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	const requests, least, mostGrowth = 240, 160, 48 << 20
	pgr := start(t, 1)
	settle()
	long := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, make([]byte, 32<<10))
	head := func(id string) string { return "HTTP/1.1 200 OK\r\n" + objects.Names().Request + ": " + id + "\r\n" }
	startEndlessTarget(t, pgr, "endless-head", strings.Repeat("Line: value\r\n", 2<<10), head)
	startEndlessTarget(t, pgr, "endless-body", long, func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n" })
	time.Sleep(500 * time.Millisecond)
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var mut sync.Mutex
	var wgr sync.WaitGroup
	served, most := 0, uint64(0)
	for num := range requests {
		time.Sleep(10 * time.Millisecond)
		wgr.Go(func() {
			began := time.Now()
			status, bytes, err := pgr.drain(fmt.Sprint("read-", num))
			took := time.Since(began)
			mut.Lock()
			defer mut.Unlock()
			if status == http.StatusOK && err == nil && bytes < 1<<10 {
				served++
			}
			if err == nil && bytes >= 64<<10 {
				t.Errorf("a response without end looks whole after %d bytes", bytes)
			}
			if took > requestTimeout+500*time.Millisecond {
				t.Errorf("request %d ended after %v", num, took)
			}
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapInuse)
		})
	}
	wgr.Wait()
	t.Logf("the heap grew from %d to %d bytes; %d requests were served", before.HeapInuse, most, served)
	if most > before.HeapInuse+mostGrowth {
		t.Errorf("the heap grew from %d to %d bytes", before.HeapInuse, most)
	}
	if served < least {
		t.Errorf("%d of %d requests were served, want %d", served, requests, least)
	}
}

// drain sends a request to the first VM and reads its response without keeping it.
func (pgr *Playground) drain(id string) (status int, bytes int64, err error) {
	// Without a time limit of its own the caller shows when the VM ends the response.
	req, err := NewRequest(context.Background(), pgr.CallerAddresses[0], http.MethodGet, "/recipes/x", id, Key, requestTimeout)
	if err != nil {
		return 0, 0, err
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = rsp.Body.Close() }()
	bytes, err = io.Copy(io.Discard, rsp.Body)
	return rsp.StatusCode, bytes, err
}
