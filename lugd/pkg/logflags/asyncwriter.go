package logflags

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// FlushTimeout bounds the time for which Close writes the lines that still wait.
	FlushTimeout = 100 * time.Millisecond
)

// AsyncWriter writes lines in a goroutine of its own, so that a reader of the output that
// stops reading blocks nothing else. Lines that find the queue full or that the output does
// not accept are dropped and counted.
type AsyncWriter struct {
	out io.Writer
	// lines holds the lines that wait to be written; nil ends run.
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	awr := &AsyncWriter{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go awr.run()
	return awr
}

// Write queues one line. It never blocks and never fails.
func (awr *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case awr.lines <- append([]byte(nil), line...):
	default:
		awr.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (awr *AsyncWriter) Dropped() int64 { return awr.dropped.Load() }

// run writes the lines until Close. After lines were dropped, it logs the total number dropped
// so far, not since the last such line, once the queue is less than half full.
func (awr *AsyncWriter) run() {
	defer close(awr.done)
	reported := int64(0)
	for line := range awr.lines {
		if line == nil {
			return
		}
		if _, err := awr.out.Write(line); err != nil {
			awr.dropped.Add(1) // The output itself fails, so the error cannot be logged.
		}
		if dropped := awr.Dropped(); dropped != reported && len(awr.lines) < queueLines/2 {
			reported = dropped
			_, _ = io.WriteString(awr.out, `{"level":"warning","msg":"log lines dropped","count":`+strconv.FormatInt(dropped, 10)+"}\n")
		}
	}
}

// Close writes the lines that still wait and stops the writer. It returns after
// FlushTimeout at the latest; lines that are left then may be lost.
func (awr *AsyncWriter) Close() {
	timeout := time.After(FlushTimeout)
	select {
	case awr.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-awr.done:
	case <-timeout:
	}
}
