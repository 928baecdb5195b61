package command

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugctl/pkg/explain"
)

func (cct *commandContext) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what the logs of VMs, in files or on standard input, say about a request", ArgsUsage: "REQUEST-ID [FILE...]",
		Action: cct.run(cct.explain),
	}
}

func (cct *commandContext) explain(_ context.Context, cmd *cli.Command, prn *printer) error {
	if cmd.Args().Len() == 0 {
		return &usageError{message: cmd.FullName() + " takes the ID of a request and optionally log files"}
	}
	rdr := explain.New(cmd.Args().First())
	files := cmd.Args().Tail()
	if len(files) == 0 {
		if err := rdr.Read(os.Stdin, ""); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readLog(rdr, name); err != nil {
			return err
		}
	}
	tli, found := rdr.Timeline()
	if !found {
		return errNotFound
	}
	if prn.json {
		return prn.print(tli, nil, nil)
	}
	return tli.WriteText(prn.out)
}

// readLog reads a log file. Its name without extension is the VM of lines that name none.
func readLog(rdr *explain.Reader, name string) error {
	src, err := os.Open(name)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	defer func() { _ = src.Close() }()
	return rdr.Read(src, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}
