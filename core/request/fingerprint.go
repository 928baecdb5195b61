package request

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is long enough that nobody finds a request with the fingerprint of a given one.
const fingerprintBytes = 16

// Fingerprint identifies what a request asks for, so that a repeated request is recognised at any VM.
// The zero value stands for a request whose content is not known.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request's content. resource is the path with the query,
// as the caller sent it, and body the parts of the body. IDs, timeouts and keys differ between repeats and are left out.
func FingerprintOf(method, host, resource string, body ...[]byte) Fingerprint {
	return fingerprint([][]byte{[]byte(method), []byte(host), []byte(resource)}, body)
}

// Of returns the fingerprint of the content when the given organisation sends it. It includes the
// organisation, so that none can have a request of another one refused.
func (fpr Fingerprint) Of(organisation string) Fingerprint {
	if fpr == (Fingerprint{}) {
		return fpr
	}
	return fingerprint([][]byte{[]byte(organisation)}, [][]byte{fpr[:]})
}

// Compare orders fingerprints.
func (fpr Fingerprint) Compare(other Fingerprint) int { return bytes.Compare(fpr[:], other[:]) }

// String returns the fingerprint in hexadecimal digits.
func (fpr Fingerprint) String() string { return hex.EncodeToString(fpr[:]) }

// ParseFingerprint parses what String returns.
func ParseFingerprint(txt string) (fpr Fingerprint, valid bool) {
	raw, err := hex.DecodeString(txt)
	if err != nil || len(raw) != fingerprintBytes {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// fingerprint returns the digest of several fields, the last of which is given in parts. Each is preceded by its length, so
// that no two lists of fields are the same bytes.
func fingerprint(first [][]byte, last [][]byte) Fingerprint {
	sum := sha256.New()
	var length [8]byte
	for _, fld := range first {
		binary.BigEndian.PutUint64(length[:], uint64(len(fld)))
		sum.Write(length[:])
		sum.Write(fld)
	}
	total := 0
	for _, prt := range last {
		total += len(prt)
	}
	binary.BigEndian.PutUint64(length[:], uint64(total))
	sum.Write(length[:])
	for _, prt := range last {
		sum.Write(prt)
	}
	return Fingerprint(sum.Sum(nil)[:fingerprintBytes])
}
