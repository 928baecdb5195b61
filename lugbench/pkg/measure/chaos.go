package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/lugbench/pkg/runner"
)

const (
	chaosVMs   = 12
	chaosTime  = 60 * time.Second
	chaosPause = 1500 * time.Millisecond
	// mostLost keeps a majority of the first VMs alive and awake.
	mostLost = 4
)

// chaos brings about faults at random moments, together and twice.
type chaos struct {
	fle  *runner.Fleet
	obs  *runner.Observer
	dep  runner.Deployment
	rnd  *rand.Rand
	lost map[int]bool
	away bool
}

func (cha *chaos) target() string {
	svc := cha.dep.Services[cha.rnd.IntN(len(cha.dep.Services))]
	return cha.fle.TargetOf(svc.Name, cha.rnd.IntN(svc.Workers))
}

// inject brings about one fault and returns its name.
func (cha *chaos) inject() string {
	vmm := cha.rnd.IntN(chaosVMs)
	switch cha.rnd.IntN(9) {
	case 0:
		if len(cha.lost) < mostLost && !cha.lost[vmm] {
			cha.lost[vmm] = true
			cha.fle.Kill(vmm)
			cha.fle.Join()
			return "kill and replace"
		}
	case 1:
		if len(cha.lost) < mostLost && !cha.lost[vmm] {
			cha.lost[vmm] = true
			cha.fle.Pause(vmm, true)
			cha.fle.After(time.Duration(cha.rnd.IntN(15000))*time.Millisecond, func() {
				cha.fle.Pause(vmm, false)
				delete(cha.lost, vmm)
			})
			return "pause"
		}
	case 2:
		other := cha.rnd.IntN(cha.fle.Size())
		cha.fle.Cut(vmm, other, true)
		cha.fle.After(5*time.Second, func() { cha.fle.Cut(vmm, other, false) })
		return "one-way cut"
	case 3:
		for other := range cha.fle.Size() {
			cha.fle.Cut(other, vmm, true)
		}
		cha.fle.After(8*time.Second, func() {
			for other := range cha.fle.Size() {
				cha.fle.Cut(other, vmm, false)
			}
		})
		return "deaf VM"
	case 4:
		cha.away = !cha.away
		cha.fle.SetPlatformAway(cha.away)
		return "platform away or back"
	case 5, 6:
		faults := Faults()
		cha.fle.SetFault(cha.target(), faults[cha.rnd.IntN(len(faults))].Fault)
		return "target fault"
	case 7:
		if !cha.away {
			cha.obs.WithdrawTarget(cha.target())
			return "target withdrawn"
		}
	case 8:
		org := cha.dep.Organisations[3+cha.rnd.IntN(5)].Name
		if !cha.away && cha.rnd.IntN(2) == 0 {
			cha.obs.WithdrawKey(org)
			return "key withdrawn"
		}
		cha.fle.Stream(org, cha.dep.Services[0].Name, 2000, cha.fle.Now()+3*time.Second)
		return "excess of one organisation"
	}
	return "none"
}

// runSchedule runs one schedule and returns what did not hold.
func runSchedule(dep runner.Deployment, seed uint64) (broken []string, summary string, injected map[string]int) {
	fle := runner.NewFleet(dep, runner.Options{Seed: seed, VMs: chaosVMs, Lease: lease, Threshold: health.ThresholdBalanced})
	cha := &chaos{
		fle: fle, obs: runner.Observe(fle), dep: dep, rnd: rand.New(rand.NewPCG(seed, 99)), lost: make(map[int]bool),
	}
	injected = make(map[string]int)
	fle.Load(usualLoad*0.7, warmUp+chaosTime)
	fle.Run(warmUp)
	for began := fle.Now(); fle.Now()-began < chaosTime; {
		injected[cha.inject()]++
		fle.Run(time.Duration(cha.rnd.Int64N(int64(2 * chaosPause))))
	}
	return cha.obs.Broken(), cha.obs.Summary(), injected
}

// ChaosReport runs random schedules of faults and prints what did not hold.
func ChaosReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		broken := make([][]string, seeds)
		summaries := make([]string, seeds)
		injected := make([]map[string]int, seeds)
		parallel(seeds, func(num int) { broken[num], summaries[num], injected[num] = runSchedule(dep, uint64(num+1)) })
		total := make(map[string]int)
		bad := 0
		for num := range seeds {
			for name, cnt := range injected[num] {
				total[name] += cnt
			}
			if len(broken[num]) > 0 {
				bad++
				if _, err := fmt.Fprintf(out, "%s seed %d: %d broken, first: %s\n  %s\n", dep.Name, num+1, len(broken[num]), broken[num][0], summaries[num]); err != nil {
					return err
				}
			}
		}
		if _, err := fmt.Fprintf(out, "%s: %d schedules of %v, %d with something broken; faults: %v\nseed 1: %s\n", dep.Name, seeds, chaosTime, bad, total, summaries[0]); err != nil {
			return err
		}
	}
	return nil
}
