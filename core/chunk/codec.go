package chunk

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/rate"
)

var errMalformed = errors.New("malformed chunk")

const maxObjects = 1 << 20

func orMalformed(err error) error {
	if err == nil {
		return errMalformed
	}
	return err
}

// fielder writes or reads a sequence of fields and keeps the first error.
type fielder struct {
	err error
}

func (fld *fielder) do(err error) {
	if fld.err == nil {
		fld.err = err
	}
}

func (fld *fielder) text(dec *msgpack.Decoder) string {
	val, err := dec.DecodeString()
	fld.do(err)
	return val
}

func (fld *fielder) whole(dec *msgpack.Decoder) int64 {
	val, err := dec.DecodeInt64()
	fld.do(err)
	return val
}

func (fld *fielder) boolean(dec *msgpack.Decoder) bool {
	val, err := dec.DecodeBool()
	fld.do(err)
	return val
}

func (fld *fielder) count(dec *msgpack.Decoder) int {
	cnt, err := dec.DecodeArrayLen()
	fld.do(err)
	if fld.err == nil && (cnt < 0 || cnt > maxObjects) {
		fld.err = errMalformed
	}
	if fld.err != nil {
		return 0
	}
	return cnt
}

func (fld *fielder) texts(dec *msgpack.Decoder) []string {
	var out []string
	for range fld.count(dec) {
		out = append(out, fld.text(dec))
	}
	return out
}

// Each object is an array of its fields in a fixed order that starts with its
// format, so that later fields can be added behind a higher format.
const objectFormat = 1

func encodeBucket(sec config.Section, buc config.Bucket) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	var fld fielder
	switch sec {
	case config.SectionOrganisations:
		encodeList(&fld, enc, buc.Organisations, encodeOrganisation)
	case config.SectionKeys:
		encodeList(&fld, enc, buc.Keys, encodeKey)
	case config.SectionRoutes:
		encodeList(&fld, enc, buc.Routes, encodeRoute)
	case config.SectionServices:
		encodeList(&fld, enc, buc.Services, encodeService)
	}
	return buf.Bytes()
}

func encodeList[T any](fld *fielder, enc *msgpack.Encoder, objs []T, encode func(*fielder, *msgpack.Encoder, T)) {
	if len(objs) == 0 {
		return
	}
	fld.do(enc.EncodeInt(objectFormat))
	fld.do(enc.EncodeArrayLen(len(objs)))
	for _, obj := range objs {
		encode(fld, enc, obj)
	}
}

func decodeBucket(sec config.Section, content []byte) (config.Bucket, error) {
	var buc config.Bucket
	if len(content) == 0 {
		return buc, nil
	}
	dec := msgpack.NewDecoder(bytes.NewReader(content))
	var fld fielder
	if format := fld.whole(dec); fld.err == nil && format != objectFormat {
		return buc, fmt.Errorf("chunk has format %d; this program reads format %d", format, objectFormat)
	}
	switch sec {
	case config.SectionOrganisations:
		buc.Organisations = decodeList(&fld, dec, decodeOrganisation)
	case config.SectionKeys:
		buc.Keys = decodeList(&fld, dec, decodeKey)
	case config.SectionRoutes:
		buc.Routes = decodeList(&fld, dec, decodeRoute)
	case config.SectionServices:
		buc.Services = decodeList(&fld, dec, decodeService)
	}
	return buc, fld.err
}

func decodeList[T any](fld *fielder, dec *msgpack.Decoder, decode func(*fielder, *msgpack.Decoder) T) []T {
	var out []T
	for range fld.count(dec) {
		obj := decode(fld, dec)
		if fld.err != nil {
			return nil
		}
		out = append(out, obj)
	}
	return out
}

func encodeOrganisation(fld *fielder, enc *msgpack.Encoder, org config.Organisation) {
	fld.do(enc.EncodeString(org.Name))
	fld.do(enc.EncodeInt(int64(org.Limit.Rate)))
	fld.do(enc.EncodeInt(int64(org.Limit.Burst)))
	fld.do(enc.EncodeInt(int64(org.Weight)))
	fld.do(enc.EncodeUint(org.Created))
	fld.do(enc.EncodeUint(org.Changed))
}

func decodeOrganisation(fld *fielder, dec *msgpack.Decoder) config.Organisation {
	return config.Organisation{
		Name:    fld.text(dec),
		Limit:   rate.Limit{Rate: rate.PerSecond(fld.whole(dec)), Burst: rate.Tokens(fld.whole(dec))},
		Weight:  int(fld.whole(dec)),
		Created: uint64(fld.whole(dec)),
		Changed: uint64(fld.whole(dec)),
	}
}

func encodeKey(fld *fielder, enc *msgpack.Encoder, key config.Key) {
	fld.do(enc.EncodeString(key.ID))
	fld.do(enc.EncodeString(key.Organisation))
	fld.do(enc.EncodeBytes(key.Digest[:]))
}

func decodeKey(fld *fielder, dec *msgpack.Decoder) config.Key {
	key := config.Key{ID: fld.text(dec), Organisation: fld.text(dec)}
	raw, err := dec.DecodeBytes()
	fld.do(err)
	if fld.err == nil && len(raw) != len(key.Digest) {
		fld.err = errMalformed
	}
	copy(key.Digest[:], raw)
	return key
}

func encodeTexts(fld *fielder, enc *msgpack.Encoder, txts []string) {
	fld.do(enc.EncodeArrayLen(len(txts)))
	for _, txt := range txts {
		fld.do(enc.EncodeString(txt))
	}
}

func encodeRoute(fld *fielder, enc *msgpack.Encoder, rou config.Route) {
	for _, txt := range []string{rou.Name, rou.Host, rou.PathPrefix, string(rou.Access), rou.Service} {
		fld.do(enc.EncodeString(txt))
	}
	encodeTexts(fld, enc, rou.Methods)
	encodeTexts(fld, enc, rou.Organisations)
	fld.do(enc.EncodeBool(rou.Idempotent))
	fld.do(enc.EncodeInt(int64(rou.Timeout)))
	fld.do(enc.EncodeInt(int64(rou.MaxAttempts)))
}

func decodeRoute(fld *fielder, dec *msgpack.Decoder) config.Route {
	return config.Route{
		Name:          fld.text(dec),
		Host:          fld.text(dec),
		PathPrefix:    fld.text(dec),
		Access:        config.Access(fld.text(dec)),
		Service:       fld.text(dec),
		Methods:       fld.texts(dec),
		Organisations: fld.texts(dec),
		Idempotent:    fld.boolean(dec),
		Timeout:       time.Duration(fld.whole(dec)),
		MaxAttempts:   int(fld.whole(dec)),
	}
}

func encodeService(fld *fielder, enc *msgpack.Encoder, svc config.Service) {
	fld.do(enc.EncodeString(svc.Name))
	fld.do(enc.EncodeFloat64(svc.HealthyFloor))
	fld.do(enc.EncodeArrayLen(len(svc.Targets)))
	for _, tgt := range svc.Targets {
		fld.do(enc.EncodeString(tgt.Name))
		fld.do(enc.EncodeString(tgt.Address))
		fld.do(enc.EncodeString(tgt.FailureDomain))
		fld.do(enc.EncodeInt(int64(tgt.Slots)))
		fld.do(enc.EncodeInt(int64(tgt.Connections)))
	}
}

func decodeService(fld *fielder, dec *msgpack.Decoder) config.Service {
	svc := config.Service{Name: fld.text(dec)}
	floor, err := dec.DecodeFloat64()
	fld.do(err)
	svc.HealthyFloor = floor
	for range fld.count(dec) {
		svc.Targets = append(svc.Targets, config.Target{
			Name:          fld.text(dec),
			Address:       fld.text(dec),
			FailureDomain: fld.text(dec),
			Slots:         int(fld.whole(dec)),
			Connections:   int(fld.whole(dec)),
		})
	}
	return svc
}
