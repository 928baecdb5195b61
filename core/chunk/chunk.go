// Package chunk divides a configuration into immutable chunks named by their
// content, so that a change of one object moves one chunk and a manifest.
package chunk

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldlug.example/core/config"
)

// ID names a chunk by the SHA-256 of its content. The zero ID names the empty
// chunk, which is never stored.
type ID [sha256.Size]byte

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID reads the form that String returns.
func ParseID(txt string) (ID, error) {
	var id ID
	raw, err := hex.DecodeString(txt)
	if err != nil || len(raw) != len(id) {
		return id, fmt.Errorf("%q is not the name of a chunk", txt)
	}
	copy(id[:], raw)
	return id, nil
}

// IDOf returns the ID of a content.
func IDOf(content []byte) ID {
	if len(content) == 0 {
		return ID{}
	}
	return sha256.Sum256(content)
}

// Manifest names the chunk of every bucket of every section.
type Manifest struct {
	// chunks has one list per section, each as long as the section's buckets.
	chunks [][]ID
}

// NewManifest returns the manifest of an empty configuration.
func NewManifest() Manifest {
	var man Manifest
	for _, sec := range config.Sections() {
		man.chunks = append(man.chunks, make([]ID, sec.Buckets()))
	}
	return man
}

// Build encodes a configuration into its manifest and chunks.
func Build(con config.Content) (Manifest, map[ID][]byte) {
	man := NewManifest()
	chunks := make(map[ID][]byte)
	for _, sec := range config.Sections() {
		for num, buc := range config.Split(con, sec) {
			content := encodeBucket(sec, buc)
			id := IDOf(content)
			man.chunks[sec][num] = id
			if len(content) > 0 {
				chunks[id] = content
			}
		}
	}
	return man, chunks
}

// Place is the position of a chunk in a manifest.
type Place struct {
	Section config.Section
	Number  int
	ID      ID
}

// Differing lists the places of man whose chunks differ from those of old.
func (man Manifest) Differing(old Manifest) []Place {
	var out []Place
	for sec, ids := range man.chunks {
		for num, id := range ids {
			if id != old.chunks[sec][num] {
				out = append(out, Place{Section: config.Section(sec), Number: num, ID: id})
			}
		}
	}
	return out
}

// Encode returns the content of the manifest, itself stored as a chunk.
func (man Manifest) Encode() []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	var fld fielder
	fld.do(enc.EncodeArrayLen(len(man.chunks)))
	for _, ids := range man.chunks {
		fld.do(enc.EncodeArrayLen(len(ids)))
		for _, id := range ids {
			if id == (ID{}) {
				fld.do(enc.EncodeNil())
				continue
			}
			fld.do(enc.EncodeBytes(id[:]))
		}
	}
	return buf.Bytes()
}

// DecodeManifest reads the content that Encode returns.
func DecodeManifest(content []byte) (Manifest, error) {
	man := NewManifest()
	dec := msgpack.NewDecoder(bytes.NewReader(content))
	if cnt, err := dec.DecodeArrayLen(); err != nil || cnt != len(man.chunks) {
		return man, fmt.Errorf("manifest has %d sections: %w", cnt, orMalformed(err))
	}
	for sec := range man.chunks {
		if cnt, err := dec.DecodeArrayLen(); err != nil || cnt != len(man.chunks[sec]) {
			return man, fmt.Errorf("manifest section %d has %d buckets: %w", sec, cnt, orMalformed(err))
		}
		for num := range man.chunks[sec] {
			raw, err := dec.DecodeBytes()
			if err != nil || len(raw) != 0 && len(raw) != sha256.Size {
				return man, fmt.Errorf("manifest section %d bucket %d: %w", sec, num, orMalformed(err))
			}
			copy(man.chunks[sec][num][:], raw)
		}
	}
	return man, nil
}

// Decode reads the bucket at a place and checks that content has the ID that
// the place names.
func Decode(plc Place, content []byte) (config.Replacement, error) {
	rpl := config.Replacement{Section: plc.Section, Number: plc.Number}
	if IDOf(content) != plc.ID {
		return rpl, fmt.Errorf("chunk %v does not have the content that its name states", plc.ID)
	}
	buc, err := decodeBucket(plc.Section, content)
	rpl.Bucket = buc
	return rpl, err
}

// At returns the chunk of one bucket.
func (man Manifest) At(sec config.Section, num int) ID { return man.chunks[sec][num] }

// Find returns the content of a chunk of a configuration with this manifest,
// or nil where the manifest does not name it.
func (man Manifest) Find(id ID, sna *config.Snapshot) []byte {
	for sec, ids := range man.chunks {
		for num := range ids {
			if ids[num] == id {
				return encodeBucket(config.Section(sec), sna.Bucket(config.Section(sec), num))
			}
		}
	}
	return nil
}
