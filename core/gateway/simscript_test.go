package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quarantine"
)

// do carries out one line of a script.
func (sim *fleetSim) do(verb string, args []string) error {
	switch verb {
	case "limit", "unlimit", "leave", "refuse":
		return sim.announce(verb, args)
	case "restart-target", "withdraw", "late-write", "late-registrations":
		return sim.changeRegistration(verb, args)
	case "restart":
		return sim.restart(args[0])
	case "cut", "join":
		name, err := sim.named(args[0])
		if err == nil && sim.cut[name] {
			sim.joinedAt[name] = sim.now
		}
		sim.cut[name] = verb == "cut"
		return err
	case "lose-reports":
		sim.dropReports, sim.dropMostReports = args[0] == "on", args[0] == "most"
	case "slow-peers":
		sim.slowPeers = args[0] == "on"
	case "crasher", "crash", "restart-all", "store-away", "silence", "reset", "exit", "slow-crashes":
		return sim.doCrash(verb, args)
	case "sever":
		return sim.sever(args)
	case "mend":
		sim.mend()
	case "rate":
		num, err := strconv.Atoi(args[0])
		sim.perSecond = num
		return err
	default:
		return errors.New("unknown verb")
	}
	return nil
}

// named returns the name of a VM, which may be given as "placer".
func (sim *fleetSim) named(name string) (string, error) {
	if name != "placer" {
		return name, nil
	}
	for _, vmm := range sim.vms {
		if vmm.mac == nil || vmm.mac.services["svc"] == nil {
			continue
		}
		if placer := sim.vm(vmm.mac.services["svc"].partitions[0].placer); placer != nil {
			return placer.name, nil
		}
	}
	return "", errors.New("no VM knows the placer")
}

// restart ends a VM at once and starts it again after restartTime.
func (sim *fleetSim) restart(name string) error {
	name, err := sim.named(name)
	vmm := sim.vm(name + ".")
	if err != nil || vmm == nil {
		return errors.Join(err, errors.New("no such VM"))
	}
	for range vmm.callers {
		sim.failed++
	}
	vmm.mac = nil
	sim.forgetUnstored()
	sim.after(restartTime, func() {
		vmm.start()
		vmm.sync()
	})
	return nil
}

// announce changes what targets announce: "limit WHICH RATE", "unlimit WHICH", "leave WHICH" and
// "refuse WHICH TIME RETRY-AFTER", where WHICH may be "all".
func (sim *fleetSim) announce(verb string, args []string) error {
	for _, tgt := range sim.tgs {
		if args[0] != "all" && args[0] != tgt.name {
			continue
		}
		switch verb {
		case "limit":
			num, err := strconv.ParseFloat(args[1], 64)
			if err != nil {
				return err
			}
			tgt.limits = append(tgt.limits, announcedLimit{since: sim.now, limited: true, rate: num})
		case "unlimit":
			tgt.limits = append(tgt.limits, announcedLimit{since: sim.now})
		case "leave":
			tgt.leaving = true
		case "refuse":
			length, err := time.ParseDuration(args[1])
			pauseFor, perr := time.ParseDuration(args[2])
			if err := errors.Join(err, perr); err != nil {
				return err
			}
			tgt.refuseUntil, tgt.pauseFor = sim.now.Add(length), pauseFor
		}
	}
	return nil
}

// perTarget returns how many requests each target got.
func (sim *fleetSim) perTarget() string {
	var out []string
	for _, tgt := range sim.past {
		out = append(out, fmt.Sprintf("%s %d", tgt.name, len(tgt.arrivals)))
	}
	return strings.Join(out, ", ")
}

// isReport reports whether a message tells another VM what targets announce.
func isReport(msg any) bool {
	switch msg.(type) {
	case placement.Announced, quarantine.News:
		return true
	}
	return false
}
