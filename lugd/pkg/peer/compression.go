package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// compressFrom is the size in bytes from which on payloads are compressed. Smaller ones, which are
	// most, would gain little.
	compressFrom = 4 << 10
	// maxDecompressedSize is the greatest size in bytes of a payload that was compressed.
	maxDecompressedSize = 8 * maxFrameSize
)

// compressors holds compressors for reuse, since each takes much memory.
var compressors = sync.Pool{New: func() any {
	cmp, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return cmp
}}

// compress returns a payload that decode turns into the same message, and that is smaller if the given
// one is long: the lists that a VM gets when it starts would otherwise fill the link of the VM that
// sends them to many.
func compress(payload []byte) ([]byte, error) {
	if len(payload) < compressFrom {
		return payload, nil
	}
	wrt := newWriter()
	wrt.unsigned(kindCompressed)
	if wrt.err != nil {
		return nil, wrt.err
	}
	cmp, ok := compressors.Get().(*flate.Writer)
	if !ok {
		return payload, nil
	}
	defer compressors.Put(cmp)
	cmp.Reset(&wrt.buf)
	if _, err := cmp.Write(payload); err != nil {
		return nil, err
	}
	if err := cmp.Close(); err != nil {
		return nil, err
	}
	return wrt.buf.Bytes(), nil
}

// isCompressed reports whether a payload was compressed.
func isCompressed(payload []byte) bool {
	rdr := newReader(payload)
	return rdr.unsigned() == kindCompressed && rdr.err == nil
}

// decompressing is held while a payload is decompressed, so that only one at a time takes maxDecompressedSize.
var decompressing sync.Mutex

// decompress returns the payload that was compressed. The error wraps errMalformed.
func decompress(compressed []byte) ([]byte, error) {
	decompressing.Lock()
	defer decompressing.Unlock()
	src := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = src.Close() }()
	payload, err := io.ReadAll(io.LimitReader(src, maxDecompressedSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if len(payload) > maxDecompressedSize {
		return nil, fmt.Errorf("%w: its payload exceeds %d bytes", errMalformed, maxDecompressedSize)
	}
	return payload, nil
}
