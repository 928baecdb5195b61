package logflags

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mut     sync.Mutex
	got     bytes.Buffer
}

func (blw *blockedWriter) Write(buf []byte) (int, error) {
	<-blw.release
	blw.mut.Lock()
	defer blw.mut.Unlock()
	return blw.got.Write(buf)
}

// TestAsyncWriterNeverBlocksAndReportsDroppedLines writes more lines than the queue holds to an
// output that nobody reads, as when the reader of the log hangs. Writing must not block, or the VM
// would stop serving; once the output is read again, the queued lines must arrive and the loss of
// the others must be logged.
func TestAsyncWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	blw := &blockedWriter{release: make(chan struct{})}
	awr := NewAsyncWriter(blw)
	began := time.Now()
	for range 3 * queueLines {
		if _, err := awr.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing lines to a blocked output took %v", took)
	}
	if awr.Dropped() < queueLines {
		t.Errorf("%d lines were dropped", awr.Dropped())
	}
	close(blw.release)
	time.Sleep(100 * time.Millisecond)
	awr.Close()
	blw.mut.Lock()
	defer blw.mut.Unlock()
	if txt := blw.got.String(); !strings.Contains(txt, "log lines dropped") || strings.Count(txt, "line\n") < queueLines {
		t.Errorf("%d lines arrived, dropped lines reported: %v", strings.Count(txt, "line\n"), strings.Contains(txt, "log lines dropped"))
	}
}
