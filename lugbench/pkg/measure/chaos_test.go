package measure

import (
	"testing"

	"marigoldlug.example/lugbench/pkg/runner"
)

// Schedules that once broke the floor, and one that never broke anything.
func TestPromisesHoldUnderFaults(t *testing.T) {
	for _, seed := range []uint64{9, 12, 1} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			broken, summary, _ := runSchedule(runner.KilnLedger(), seed)
			for _, one := range broken {
				t.Errorf("seed %d: %s (%s)", seed, one, summary)
			}
		})
	}
}
