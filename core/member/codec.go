package member

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const maxMembers = 1 << 16

// Encode returns the stored form of a view.
func (vie View) Encode() []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// Writing to a buffer does not fail.
	_ = enc.EncodeUint(vie.epoch)
	_ = enc.EncodeArrayLen(len(vie.vms))
	for _, vmm := range vie.vms {
		_ = enc.EncodeString(vmm.ID)
		_ = enc.EncodeString(vmm.Address)
		_ = enc.EncodeString(vmm.FailureDomain)
	}
	return buf.Bytes()
}

// Decode reads the stored form of a view.
func Decode(raw []byte) (View, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(raw))
	epoch, err := dec.DecodeUint64()
	if err != nil {
		return View{}, fmt.Errorf("cannot read the epoch of a view: %w", err)
	}
	cnt, err := dec.DecodeArrayLen()
	if err != nil || cnt < 0 || cnt > maxMembers {
		return View{}, fmt.Errorf("view %d lists %d members: %w", epoch, cnt, err)
	}
	vms := make([]VM, 0, cnt)
	for range cnt {
		var vmm VM
		for _, txt := range []*string{&vmm.ID, &vmm.Address, &vmm.FailureDomain} {
			if *txt, err = dec.DecodeString(); err != nil {
				return View{}, fmt.Errorf("cannot read a member of view %d: %w", epoch, err)
			}
		}
		vms = append(vms, vmm)
	}
	return NewView(epoch, vms), nil
}
