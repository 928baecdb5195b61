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
	fireVMs   = 12
	fireTime  = 60 * time.Second
	firePause = 1500 * time.Millisecond
	// mostLost keeps a majority of the first VMs alive and awake.
	mostLost = 4
)

// fire brings about faults at random moments, together and twice.
type fire struct {
	fle  *runner.Fleet
	obs  *runner.Observer
	dep  runner.Deployment
	rnd  *rand.Rand
	lost map[int]bool
	away bool
}

func (fir *fire) target() string {
	svc := fir.dep.Services[fir.rnd.IntN(len(fir.dep.Services))]
	return fir.fle.TargetOf(svc.Name, fir.rnd.IntN(svc.Workers))
}

// ignite brings about one fault and returns its name.
func (fir *fire) ignite() string {
	vmm := fir.rnd.IntN(fireVMs)
	switch fir.rnd.IntN(9) {
	case 0:
		if len(fir.lost) < mostLost && !fir.lost[vmm] {
			fir.lost[vmm] = true
			fir.fle.Kill(vmm)
			fir.fle.Join()
			return "kill and replace"
		}
	case 1:
		if len(fir.lost) < mostLost && !fir.lost[vmm] {
			fir.lost[vmm] = true
			fir.fle.Pause(vmm, true)
			fir.fle.After(time.Duration(fir.rnd.IntN(15000))*time.Millisecond, func() {
				fir.fle.Pause(vmm, false)
				delete(fir.lost, vmm)
			})
			return "pause"
		}
	case 2:
		other := fir.rnd.IntN(fir.fle.Size())
		fir.fle.Cut(vmm, other, true)
		fir.fle.After(5*time.Second, func() { fir.fle.Cut(vmm, other, false) })
		return "one-way cut"
	case 3:
		for other := range fir.fle.Size() {
			fir.fle.Cut(other, vmm, true)
		}
		fir.fle.After(8*time.Second, func() {
			for other := range fir.fle.Size() {
				fir.fle.Cut(other, vmm, false)
			}
		})
		return "deaf VM"
	case 4:
		fir.away = !fir.away
		fir.fle.SetPlatformAway(fir.away)
		return "platform away or back"
	case 5, 6:
		faults := Faults()
		fir.fle.SetFault(fir.target(), faults[fir.rnd.IntN(len(faults))].Fault)
		return "target fault"
	case 7:
		if !fir.away {
			fir.obs.WithdrawTarget(fir.target())
			return "target withdrawn"
		}
	case 8:
		org := fir.dep.Organisations[3+fir.rnd.IntN(5)].Name
		if !fir.away && fir.rnd.IntN(2) == 0 {
			fir.obs.WithdrawKey(org)
			return "key withdrawn"
		}
		fir.fle.Stream(org, fir.dep.Services[0].Name, 2000, fir.fle.Now()+3*time.Second)
		return "excess of one organisation"
	}
	return "none"
}

// burn runs one schedule and returns what did not hold.
func burn(dep runner.Deployment, seed uint64) (broken []string, summary string, ignited map[string]int) {
	fle := runner.NewFleet(dep, runner.Options{Seed: seed, VMs: fireVMs, Lease: lease, Threshold: health.ThresholdBalanced})
	fir := &fire{
		fle: fle, obs: runner.Observe(fle), dep: dep, rnd: rand.New(rand.NewPCG(seed, 99)), lost: make(map[int]bool),
	}
	ignited = make(map[string]int)
	fle.Load(usualLoad*0.7, warmUp+fireTime)
	fle.Run(warmUp)
	for began := fle.Now(); fle.Now()-began < fireTime; {
		ignited[fir.ignite()]++
		fle.Run(time.Duration(fir.rnd.Int64N(int64(2 * firePause))))
	}
	return fir.obs.Broken(), fir.obs.Summary(), ignited
}

// FireReport runs random schedules of faults and prints what did not hold.
func FireReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		broken := make([][]string, seeds)
		summaries := make([]string, seeds)
		ignited := make([]map[string]int, seeds)
		parallel(seeds, func(num int) { broken[num], summaries[num], ignited[num] = burn(dep, uint64(num+1)) })
		total := make(map[string]int)
		bad := 0
		for num := range seeds {
			for name, cnt := range ignited[num] {
				total[name] += cnt
			}
			if len(broken[num]) > 0 {
				bad++
				if _, err := fmt.Fprintf(out, "%s seed %d: %d broken, first: %s\n  %s\n", dep.Name, num+1, len(broken[num]), broken[num][0], summaries[num]); err != nil {
					return err
				}
			}
		}
		if _, err := fmt.Fprintf(out, "%s: %d schedules of %v, %d with something broken; faults: %v\nseed 1: %s\n", dep.Name, seeds, fireTime, bad, total, summaries[0]); err != nil {
			return err
		}
	}
	return nil
}
