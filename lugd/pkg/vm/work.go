package vm

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/node"
	"marigoldlug.example/lugd/pkg/release"
)

// perform carries out an action that waits for the platform or for peers.
func (rtm *Runtime) perform(act node.Action) {
	switch act := act.(type) {
	case node.ReadHead:
		rtm.readHead()
	case node.Load:
		rtm.load(act)
	case node.ListVMs:
		rtm.listVMs()
	case node.CommitView:
		rtm.commitView(act.Change)
	}
}

func (rtm *Runtime) readHead() {
	asked := rtm.Now()
	hea, _, err := release.ReadHead(rtm.ctx, rtm.client)
	if err != nil {
		rtm.log.WithError(err).Debug("cannot read the head")
	}
	rtm.Step(node.HeadRead{Asked: asked, Head: hea, Failed: err != nil})
}

func (rtm *Runtime) listVMs() {
	vms, err := rtm.client.VMs(rtm.ctx)
	if err != nil {
		rtm.log.WithError(err).Debug("cannot list the VMs")
		return
	}
	if len(vms) == 0 {
		return
	}
	addresses := make(map[string]bool, len(vms))
	for _, vmm := range vms {
		addresses[vmm.Address] = true
	}
	rtm.Step(node.VMsListed{Addresses: addresses})
}

func (rtm *Runtime) commitView(chg member.Change) {
	hea, err := rtm.committer.ChangeView(rtm.ctx, chg)
	if err != nil {
		if !errors.Is(err, release.ErrMoved) {
			rtm.log.WithError(err).Warn("cannot change the view")
		}
		rtm.Step(node.ViewCommitted{})
		return
	}
	rtm.log.WithField("version", hea.Version).WithField("added", len(chg.Added)).WithField("removed", len(chg.Removed)).Info("view changed")
	rtm.Step(node.ViewCommitted{})
	for _, vmm := range chg.Added {
		if vmm.ID != rtm.self.ID {
			rtm.transport.Introduce(vmm.ID, vmm.Address)
			rtm.transport.Send(vmm.ID, fence.News{Head: hea})
		}
	}
	rtm.Announce(hea)
}

// load obtains what a head names, from the VM that told of it where it can.
func (rtm *Runtime) load(act node.Load) {
	rtm.loading.Lock()
	defer rtm.loading.Unlock()
	src := &chunks{rtm: rtm, from: act.From, platform: release.PlatformChunks{Client: rtm.client}}
	if act.From == "" && !rtm.loaded {
		src.from = rtm.helper(act.Head)
	}
	cts, err := rtm.loader.Load(rtm.ctx, src, act.Head)
	if err != nil {
		rtm.log.WithError(err).WithField("version", act.Head.Version).Warn("cannot load the configuration")
		rtm.Step(node.LoadFailed{})
		return
	}
	rtm.loaded = true
	rtm.book.set(cts.View)
	rtm.Step(node.Loaded{Head: act.Head, Snapshot: cts.Snapshot, View: cts.View, Prior: cts.Prior})
}

// helper returns a member to load a first configuration from, so that a mass
// restart does not read every chunk from the platform once for each VM.
func (rtm *Runtime) helper(hea fence.Head) string {
	vie, err := release.LoadView(rtm.ctx, release.PlatformChunks{Client: rtm.client}, hea.View)
	if err != nil {
		return ""
	}
	others := slices.DeleteFunc(slices.Clone(vie.VMs()), func(vmm member.VM) bool { return vmm.ID == rtm.self.ID })
	if len(others) == 0 {
		return ""
	}
	rtm.book.set(vie)
	return others[rand.IntN(len(others))].ID
}

// chunks obtains chunks from a VM, and from the platform once that VM has not
// had one.
type chunks struct {
	rtm      *Runtime
	from     string
	platform release.PlatformChunks
}

// Chunk returns the content of a chunk.
func (chk *chunks) Chunk(ctx context.Context, id chunk.ID) ([]byte, error) {
	if chk.from == "" {
		return chk.platform.Chunk(ctx, id)
	}
	content, err := chk.rtm.transport.ChunkFrom(ctx, chk.from, id)
	if err == nil {
		return content, nil
	}
	content, perr := chk.platform.Chunk(ctx, id)
	if perr != nil {
		return nil, errors.Join(err, perr)
	}
	chk.from = ""
	return content, nil
}

// Chunk returns the content of a chunk of the head that the VM holds, or nil.
func (rtm *Runtime) Chunk(id chunk.ID) []byte {
	var content []byte
	rtm.Machine(func(mac *node.Machine, _ clock.Instant) {
		hea := mac.Head()
		switch id {
		case hea.View:
			content = mac.View().Encode()
		case hea.PriorView:
			content = mac.Prior().Encode()
		}
	})
	if content != nil {
		return content
	}
	return rtm.configChunk(id)
}

func (rtm *Runtime) configChunk(id chunk.ID) []byte {
	if !rtm.loading.TryLock() {
		return nil // The asking VM turns to the platform or asks again.
	}
	defer rtm.loading.Unlock()
	man := rtm.loader.Manifest()
	if raw := man.Encode(); chunk.IDOf(raw) == id {
		return raw
	}
	return man.Find(id, rtm.loader.Snapshot())
}

// Received takes a message from another VM.
func (rtm *Runtime) Received(from string, msg any) {
	rtm.Step(node.Received{From: from, Message: msg})
}

// PeerGone notes that a VM has ended.
func (rtm *Runtime) PeerGone(id string) {
	rtm.log.WithField("gone", id).Info("another VM runs at the address of a member")
	rtm.Step(node.PeerGone{ID: id})
}

// addressBook finds the addresses of members without the machine's lock, which
// is held while the machine's messages are sent.
type addressBook struct {
	mut       sync.Mutex
	addresses map[string]string
}

func (bok *addressBook) set(vie member.View) {
	addresses := make(map[string]string, vie.Size())
	for _, vmm := range vie.VMs() {
		addresses[vmm.ID] = vmm.Address
	}
	bok.mut.Lock()
	defer bok.mut.Unlock()
	bok.addresses = addresses
}

// Address returns where a member is reached.
func (rtm *Runtime) Address(id string) (string, bool) {
	rtm.book.mut.Lock()
	defer rtm.book.mut.Unlock()
	address, found := rtm.book.addresses[id]
	return address, found
}
