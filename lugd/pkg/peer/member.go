package peer

import "marigoldlug.example/core/member"

func (wrt *writer) vm(vmm member.VM) {
	wrt.text(vmm.ID)
	wrt.text(vmm.Address)
	wrt.text(vmm.FailureDomain)
}

func (wrt *writer) member(msg any) bool {
	switch msg := msg.(type) {
	case member.Join:
		wrt.number(kindJoin)
		wrt.vm(msg.VM)
	case member.Leave:
		wrt.number(kindLeave)
		wrt.text(msg.ID)
	case member.Ping:
		wrt.number(kindPing)
	case member.Pong:
		wrt.number(kindPong)
	default:
		return false
	}
	return true
}

func (rdr *reader) vm() member.VM {
	return member.VM{ID: rdr.text(), Address: rdr.text(), FailureDomain: rdr.text()}
}

func (rdr *reader) member(kind uint64) any {
	switch kind {
	case kindJoin:
		return member.Join{VM: rdr.vm()}
	case kindLeave:
		return member.Leave{ID: rdr.text()}
	case kindPing:
		return member.Ping{}
	case kindPong:
		return member.Pong{}
	}
	return nil
}
