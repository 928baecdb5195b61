package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	began time.Time
	mut   sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

func (rec *record) printf(format string, args ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f s  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}
