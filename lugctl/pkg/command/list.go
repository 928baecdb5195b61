package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugctl/pkg/client"
)

func (ses *session) vmCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm",
		Usage: "show the VMs",
		Commands: []*cli.Command{
			{Name: "list", Aliases: []string{"ls"}, Usage: "list the VMs and what they hold", Action: ses.run(listVMs)},
		},
	}
}

func (ses *session) targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "show the targets",
		Commands: []*cli.Command{
			{Name: "list", Aliases: []string{"ls"}, Usage: "list the targets as the VM asked sees them", Action: ses.run(listTargets)},
		},
	}
}

func listVMs(ctx context.Context, _ *cli.Command, cli *client.Client, prn *printer) error {
	vms, err := cli.VMs(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, vmm := range vms {
		rows = append(rows, []string{
			vmm.ID, vmm.FailureDomain, vmm.Address, strconv.FormatUint(vmm.Version, 10),
			strconv.FormatBool(vmm.Ready), fmt.Sprintf("%.1fs", vmm.ProofAgeSeconds), strconv.Itoa(vmm.Requests),
		})
	}
	return prn.print(vms, []string{"VM", "FAILURE DOMAIN", "ADDRESS", "VERSION", "READY", "PROOF AGE", "REQUESTS"}, rows)
}

func listTargets(ctx context.Context, _ *cli.Command, cli *client.Client, prn *printer) error {
	tgs, err := cli.Targets(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, tgt := range tgs {
		rows = append(rows, []string{tgt.ID, tgt.Address, tgt.FailureDomain, strconv.FormatBool(tgt.Ejected)})
	}
	return prn.print(tgs, []string{"TARGET", "ADDRESS", "FAILURE DOMAIN", "EJECTED"}, rows)
}
