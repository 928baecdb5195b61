package playground

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marigoldlug.example/platform/pkg/objects"
)

// longTarget answers with long bodies, and breaks off every fifth if it is faulty.
type longTarget struct {
	faulty bool
	count  atomic.Int64

	mut sync.Mutex
	// runs has the IDs of the requests that were answered whole.
	runs []string
}

const (
	longBytes    = 100 << 10
	brokenBytes  = 80 << 10
	longDuration = 30 * time.Millisecond
)

// ServeHTTP answers one request.
func (tgt *longTarget) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(objects.Names().Request)
	time.Sleep(longDuration)
	wrt.Header().Set(objects.Names().Request, id)
	wrt.Header().Set("Content-Length", fmt.Sprint(longBytes))
	if tgt.faulty && tgt.count.Add(1)%5 == 0 {
		_, _ = wrt.Write(make([]byte, brokenBytes))
		panic(http.ErrAbortHandler)
	}
	_, _ = wrt.Write(make([]byte, longBytes))
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.runs = append(tgt.runs, id)
}

// startLongTarget starts a target and registers it in place of those of the playground.
func startLongTarget(t *testing.T, pgr *Playground, name string, faulty bool) *longTarget {
	t.Helper()
	tgt := &longTarget{faulty: faulty}
	address, closeServer, err := Serve(tgt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeServer)
	if err := pgr.Register(name, address, 6); err != nil {
		t.Fatal(err)
	}
	return tgt
}

// TestResponseThatBreaksOffTakesNoOthersAlong has callers send several requests at a time on kept connections, while two of
// four targets break off long responses. A response that a sound target has completed must reach its caller, though
// one before it on the connection broke off.
func TestResponseThatBreaksOffTakesNoOthersAlong(t *testing.T) {
	const callers, pipelined, length = 6, 4, 4 * time.Second
	pgr := start(t, 1)
	var sound []*longTarget
	for num := range 4 {
		tgt := startLongTarget(t, pgr, fmt.Sprint("long-", num), num < 2)
		if !tgt.faulty {
			sound = append(sound, tgt)
		}
	}
	for _, tgt := range pgr.Targets {
		tgt.Deregister()
	}
	settle()
	var mut sync.Mutex
	answered := make(map[string]bool)
	end := time.Now().Add(length)
	var wgr sync.WaitGroup
	for num := range callers {
		wgr.Go(func() {
			for conns := 0; time.Now().Before(end); conns++ {
				for _, id := range pipeline(pgr.CallerAddresses[0], fmt.Sprint("c", num, "-", conns), pipelined, end) {
					mut.Lock()
					answered[id] = true
					mut.Unlock()
				}
			}
		})
	}
	wgr.Wait()
	lost, runs := 0, 0
	for _, tgt := range sound {
		tgt.mut.Lock()
		for _, id := range tgt.runs {
			runs++
			if !answered[id] {
				lost++
			}
		}
		tgt.mut.Unlock()
	}
	if lost > 0 || runs == 0 {
		t.Errorf("%d of %d responses that sound targets have completed did not reach their callers", lost, runs)
	}
}

// pipeline sends requests over one connection, count of them at a time, until it ends or the time is over, and returns the
// IDs of those that were answered.
func pipeline(address, name string, count int, end time.Time) (answered []string) {
	con, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	for round := 0; time.Now().Before(end); round++ {
		var ids []string
		var text strings.Builder
		for num := range count {
			id := fmt.Sprint(name, "-", round, "-", num)
			ids = append(ids, id)
			req, err := NewRequest(context.Background(), address, http.MethodGet, "/recipes/"+id, id, Key, requestTimeout)
			if err == nil {
				err = req.Write(&text)
			}
			if err != nil {
				return answered
			}
		}
		_ = con.SetDeadline(time.Now().Add(2 * requestTimeout))
		if _, err := io.WriteString(con, text.String()); err != nil {
			return answered
		}
		for _, id := range ids {
			rsp, err := http.ReadResponse(src, nil)
			if err != nil {
				return answered
			}
			answered = append(answered, id)
			_, err = io.Copy(io.Discard, rsp.Body)
			_ = rsp.Body.Close()
			if err != nil {
				return answered
			}
		}
	}
	return answered
}
