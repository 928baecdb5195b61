package logflags

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// ringLines is the number of lines that wait to be written.
	ringLines = 2048
	// FlushTimeout bounds the writing of what is left at the end.
	FlushTimeout = 100 * time.Millisecond
)

// AsyncWriter writes lines from a goroutine of its own, so that a reader that stops
// reading holds up nothing. Lines that find no room are counted and dropped.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a ring that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	rng := &AsyncWriter{out: out, lines: make(chan []byte, ringLines), done: make(chan struct{})}
	go rng.run()
	return rng
}

// Write takes one line. It never blocks and never fails.
func (rng *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case rng.lines <- append([]byte(nil), line...):
	default:
		rng.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (rng *AsyncWriter) Dropped() int64 { return rng.dropped.Load() }

func (rng *AsyncWriter) run() {
	defer close(rng.done)
	told := int64(0)
	for line := range rng.lines {
		if line == nil {
			return
		}
		if _, err := rng.out.Write(line); err != nil {
			rng.dropped.Add(1) // There is nowhere left to tell.
		}
		if dropped := rng.Dropped(); dropped != told && len(rng.lines) < ringLines/2 {
			told = dropped
			_, _ = io.WriteString(rng.out, `{"level":"warning","msg":"log lines dropped","count":`+strconv.FormatInt(dropped, 10)+"}\n")
		}
	}
}

// Close writes what is left, for FlushTime at most.
func (rng *AsyncWriter) Close() {
	late := time.After(FlushTimeout)
	select {
	case rng.lines <- nil:
	case <-late:
		return
	}
	select {
	case <-rng.done:
	case <-late:
	}
}
