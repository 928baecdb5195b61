package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"
)

func (cct *commandContext) domainCommand() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "drain failure domains",
		Commands: []*cli.Command{
			{Name: "list", Aliases: []string{"ls"}, Usage: "list the drained failure domains", Action: cct.run(cct.listDomains)},
			{Name: "status", Usage: "show the failure domains as the VM at --address knows them, and its requests that still run there", Action: cct.run(cct.showDomains)},
			{Name: "drain", Usage: "let no more requests be sent to the targets of a failure domain", ArgsUsage: "NAME", Action: cct.run(cct.drainDomain)},
			{Name: "restore", Usage: "let requests be sent to the targets of a failure domain again", ArgsUsage: "NAME", Action: cct.run(cct.restoreDomain)},
		},
	}
}

// drainedDomain is the JSON output for a failure domain.
type drainedDomain struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
}

func (cct *commandContext) listDomains(ctx context.Context, _ *cli.Command, prn *printer) error {
	sto, err := cct.store()
	if err != nil {
		return err
	}
	names, err := sto.Drained(ctx)
	if err != nil {
		return err
	}
	domains := []drainedDomain{}
	var rows [][]string
	for _, name := range names {
		domains = append(domains, drainedDomain{Name: name, Drained: true})
		rows = append(rows, []string{name})
	}
	return prn.print(domains, []string{"DRAINED"}, rows)
}

func (cct *commandContext) showDomains(ctx context.Context, _ *cli.Command, prn *printer) error {
	cli, err := cct.client()
	if err != nil {
		return err
	}
	domains, err := cli.Domains(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, dom := range domains {
		drained := "-"
		if dom.Drained {
			drained = fmt.Sprintf("%.0fs", dom.DrainedSeconds)
		}
		rows = append(rows, []string{dom.Name, drained, strconv.FormatBool(dom.Retained), strconv.Itoa(dom.Targets), strconv.Itoa(dom.Requests)})
	}
	return prn.print(domains, []string{"FAILURE DOMAIN", "DRAINED FOR", "RETAINED", "TARGETS", "REQUESTS"}, rows)
}

func (cct *commandContext) drainDomain(ctx context.Context, cmd *cli.Command, prn *printer) error {
	return cct.changeDomain(cmd, prn, "DRAINED", true, func(sto Store, name string) error { return sto.Drain(ctx, name) })
}

func (cct *commandContext) restoreDomain(ctx context.Context, cmd *cli.Command, prn *printer) error {
	return cct.changeDomain(cmd, prn, "RESTORED", false, func(sto Store, name string) error { return sto.Restore(ctx, name) })
}

// changeDomain changes the failure domain that is the argument of cmd, and prints it under a title.
func (cct *commandContext) changeDomain(cmd *cli.Command, prn *printer, title string, drained bool, change func(sto Store, name string) error) error {
	name, err := argument(cmd, "the name of the failure domain")
	if err != nil {
		return err
	}
	sto, err := cct.store()
	if err != nil {
		return err
	}
	if err := change(sto, name); err != nil {
		return err
	}
	return prn.print(drainedDomain{Name: name, Drained: drained}, []string{title}, [][]string{{name}})
}
