// Package peer exchanges messages with the other VMs of the fleet. A message is a
// msgpack payload in a length-prefixed frame over TCP, or TLS.
package peer

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxFrameSize is the greatest size in bytes of a frame's payload.
	maxFrameSize = 2 << 20
	// maxListLength is the greatest length of a list in a frame.
	maxListLength = 1 << 16
)

var errMalformed = errors.New("malformed frame")

// writer encodes the fields of a message in order and keeps the first error.
type writer struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
	err error
}

func newWriter() *writer {
	wrt := new(writer)
	wrt.enc = msgpack.NewEncoder(&wrt.buf)
	wrt.enc.UseCompactInts(true)
	return wrt
}

func (wrt *writer) keep(err error) {
	if wrt.err == nil {
		wrt.err = err
	}
}

func (wrt *writer) text(val string)            { wrt.keep(wrt.enc.EncodeString(val)) }
func (wrt *writer) raw(val []byte)             { wrt.keep(wrt.enc.EncodeBytes(val)) }
func (wrt *writer) signed(val int64)           { wrt.keep(wrt.enc.EncodeInt(val)) }
func (wrt *writer) unsigned(val uint64)        { wrt.keep(wrt.enc.EncodeUint(val)) }
func (wrt *writer) boolean(val bool)           { wrt.keep(wrt.enc.EncodeBool(val)) }
func (wrt *writer) duration(val time.Duration) { wrt.signed(int64(val)) }
func (wrt *writer) count(val int)              { wrt.keep(wrt.enc.EncodeArrayLen(val)) }

func (wrt *writer) texts(vals []string) {
	wrt.count(len(vals))
	for _, val := range vals {
		wrt.text(val)
	}
}

// reader decodes the fields of a message in order and keeps the first error.
type reader struct {
	src *bytes.Reader
	dec *msgpack.Decoder
	err error
}

func newReader(payload []byte) *reader {
	src := bytes.NewReader(payload)
	return &reader{src: src, dec: msgpack.NewDecoder(src)}
}

// consumed returns the number of bytes that were decoded.
func (rdr *reader) consumed() int { return int(rdr.src.Size()) - rdr.src.Len() }

func (rdr *reader) keep(err error) {
	if rdr.err == nil && err != nil {
		rdr.err = fmt.Errorf("%w: %w", errMalformed, err)
	}
}

func (rdr *reader) text() string {
	val, err := rdr.dec.DecodeString()
	rdr.keep(err)
	return val
}

func (rdr *reader) raw() []byte {
	val, err := rdr.dec.DecodeBytes()
	rdr.keep(err)
	return val
}

func (rdr *reader) signed() int64 {
	val, err := rdr.dec.DecodeInt64()
	rdr.keep(err)
	return val
}

func (rdr *reader) unsigned() uint64 {
	val, err := rdr.dec.DecodeUint64()
	rdr.keep(err)
	return val
}

func (rdr *reader) boolean() bool {
	val, err := rdr.dec.DecodeBool()
	rdr.keep(err)
	return val
}

func (rdr *reader) duration() time.Duration { return time.Duration(rdr.signed()) }

func (rdr *reader) count() int {
	cnt, err := rdr.dec.DecodeArrayLen()
	rdr.keep(err)
	if rdr.err == nil && (cnt < 0 || cnt > maxListLength) {
		rdr.err = errMalformed
	}
	if rdr.err != nil {
		return 0
	}
	return cnt
}

func (rdr *reader) texts() []string {
	var out []string
	for range rdr.count() {
		out = append(out, rdr.text())
	}
	return out
}
