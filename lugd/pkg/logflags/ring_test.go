package logflags

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a reader that has stopped reading until it is released.
type stuck struct {
	release chan struct{}
	mut     sync.Mutex
	got     bytes.Buffer
}

func (stk *stuck) Write(buf []byte) (int, error) {
	<-stk.release
	stk.mut.Lock()
	defer stk.mut.Unlock()
	return stk.got.Write(buf)
}

func TestRingNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	stk := &stuck{release: make(chan struct{})}
	rng := NewAsyncWriter(stk)
	began := time.Now()
	for range 3 * ringLines {
		if _, err := rng.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("lines for a reader that does not read took %v", took)
	}
	if rng.Dropped() < ringLines {
		t.Errorf("%d lines were dropped", rng.Dropped())
	}
	close(stk.release)
	time.Sleep(100 * time.Millisecond)
	rng.Close()
	stk.mut.Lock()
	defer stk.mut.Unlock()
	if txt := stk.got.String(); !strings.Contains(txt, "log lines dropped") || strings.Count(txt, "line\n") < ringLines {
		t.Errorf("%d lines arrived, dropped lines told: %v", strings.Count(txt, "line\n"), strings.Contains(txt, "log lines dropped"))
	}
}
