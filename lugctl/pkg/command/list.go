package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/service/api"
)

func (cct *commandContext) vmCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm",
		Usage: "show the VMs",
		Commands: []*cli.Command{
			{Name: "list", Aliases: []string{"ls"}, Usage: "list the VMs and their state", Action: cct.run(cct.listVMs)},
		},
	}
}

func (cct *commandContext) targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "show the targets",
		Commands: []*cli.Command{
			{Name: "list", Aliases: []string{"ls"}, Usage: "list the targets as the VM at --address knows them", Action: cct.run(cct.listTargets)},
		},
	}
}

func (cct *commandContext) listVMs(ctx context.Context, _ *cli.Command, prn *printer) error {
	cli, err := cct.client()
	if err != nil {
		return err
	}
	vms, err := cli.VMs(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, vmm := range vms {
		source := "the platform"
		if !vmm.Reading {
			source = vmm.Follows
		}
		rows = append(rows, []string{
			vmm.ID, vmm.FailureDomain, vmm.Address, strconv.FormatUint(vmm.Version, 10),
			strconv.FormatBool(vmm.Ready), fmt.Sprintf("%.1fs", vmm.ConfigAgeSeconds), source, strconv.Itoa(vmm.Requests), formatEra(vmm),
		})
	}
	return prn.print(vms, []string{"VM", "FAILURE DOMAIN", "ADDRESS", "VERSION", "READY", "PROOF AGE", "LEARNS FROM", "REQUESTS", "STORE ERA"}, rows)
}

// formatEra returns the era of the store as a VM knows it.
func formatEra(vmm api.VM) string {
	if vmm.StoreEra == nil {
		return "-"
	}
	return strconv.FormatUint(*vmm.StoreEra, 10)
}

func (cct *commandContext) listTargets(ctx context.Context, _ *cli.Command, prn *printer) error {
	cli, err := cct.client()
	if err != nil {
		return err
	}
	tgs, err := cli.Targets(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, tgt := range tgs {
		rows = append(rows, []string{
			tgt.ID, tgt.Service, tgt.Address, tgt.FailureDomain, strconv.FormatBool(tgt.Leaving), strconv.FormatBool(tgt.Doubted), formatLimit(tgt), fmt.Sprintf("%.2f", tgt.Sick), fmt.Sprintf("%d/%d", tgt.Requests, tgt.Slots), tgt.Placer,
		})
	}
	return prn.print(tgs, []string{"TARGET", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "LEAVING", "DOUBTED", "LIMIT", "SICK", "REQUESTS/SLOTS", "PLACER"}, rows)
}

// formatLimit returns what a target announces about the rate at which it takes requests.
func formatLimit(tgt api.Target) string {
	switch {
	case tgt.PausedSeconds > 0:
		return fmt.Sprintf("none for %.1fs", tgt.PausedSeconds)
	case tgt.LimitPerSecond != nil:
		return fmt.Sprintf("%g/s", *tgt.LimitPerSecond)
	}
	return "-"
}
