// Command rig3 plays the scripted cases of the third review: it starts the project's own programs beside stand-ins of the
// platform, of workers and of clients, and judges by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// verdict is what a case has found: the ways in which the rule was broken.
type verdict []string

// cases are the scripted cases by number. trouble is unset where the disruption is left out.
var cases = map[string]func(rec *record, flt *fleet, trouble bool) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 NUMBER-OF-CASE, in the root of the repository")
		return couldntRun
	}
	number := os.Args[1]
	rec, err := newRecord(filepath.Join("review", number, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	flt, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer flt.close()
	found, err := cases[number](rec, flt, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return couldntRun
	}
	for _, txt := range found {
		rec.printf("BROKEN: %s", txt)
	}
	if len(found) > 0 {
		fmt.Println("broken:", found[0])
		return broken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
