package caller

import (
	"errors"
	"io"
	"sync"
)

// replayLimit is the length in bytes up to which a request body is kept, so
// that it can be sent again.
const replayLimit = 64 << 10

var errSuperseded = errors.New("another attempt reads the body")

// replay lets attempts read the body of a request one after another. Each
// attempt starts at the beginning of the body.
type replay struct {
	src io.Reader
	// whole, if set, is called once when the body has been read to its end.
	whole func()
	// reading is held while src is read, which may take as long as the caller
	// likes; mut is never held for long.
	reading sync.Mutex

	mut  sync.Mutex
	kept []byte
	// spent is set once more was read than is kept.
	spent   bool
	attempt int
	err     error
}

func newReplay(src io.Reader) *replay { return &replay{src: src} }

// next returns the body for the next attempt; earlier readers fail from now on.
func (rep *replay) next() io.ReadCloser {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	rep.attempt++
	return &replayReader{rep: rep, attempt: rep.attempt}
}

// again reports whether the body can be read from its beginning.
func (rep *replay) again() bool {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	return !rep.spent
}

// failed returns the error met when reading the caller's body, if any.
func (rep *replay) failed() error {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	if errors.Is(rep.err, io.EOF) {
		return nil
	}
	return rep.err
}

// complete reports whether the body has been read to its end.
func (rep *replay) complete() bool {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	return errors.Is(rep.err, io.EOF)
}

// advance reads on from the caller and keeps what was read.
func (rep *replay) advance(buf []byte) (int, error) {
	cnt, err := rep.src.Read(buf)
	if errors.Is(err, io.EOF) && rep.whole != nil {
		rep.whole()
	}
	rep.mut.Lock()
	defer rep.mut.Unlock()
	rep.err = err
	if !rep.spent && len(rep.kept)+cnt > replayLimit {
		rep.spent = true
		rep.kept = nil
	}
	if !rep.spent {
		rep.kept = append(rep.kept, buf[:cnt]...)
	}
	return cnt, err
}

type replayReader struct {
	rep     *replay
	attempt int
	offset  int
}

// Read returns kept bytes first and reads on from the caller after them.
func (rdr *replayReader) Read(buf []byte) (int, error) {
	if cnt, done, err := rdr.readKept(buf); done {
		return cnt, err
	}
	rdr.rep.reading.Lock()
	defer rdr.rep.reading.Unlock()
	// An earlier attempt may have read on while this one waited.
	if cnt, done, err := rdr.readKept(buf); done {
		return cnt, err
	}
	cnt, err := rdr.rep.advance(buf)
	rdr.offset += cnt
	return cnt, err
}

func (rdr *replayReader) readKept(buf []byte) (cnt int, done bool, err error) {
	rep := rdr.rep
	rep.mut.Lock()
	defer rep.mut.Unlock()
	switch {
	case rdr.attempt != rep.attempt:
		return 0, true, errSuperseded
	case rdr.offset < len(rep.kept):
		cnt = copy(buf, rep.kept[rdr.offset:])
		rdr.offset += cnt
		return cnt, true, nil
	case rep.err != nil:
		return 0, true, rep.err
	case rep.spent && rdr.offset == 0:
		return 0, true, errSuperseded
	}
	return 0, false, nil
}

// Close does nothing: the server closes the caller's body.
func (rdr *replayReader) Close() error { return nil }
