package main

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/coordination/configcheck"
	"goldcrestport/platform"
	"goldcrestport/protocol/intent"
	"goldcrestport/state/config"
)

// Forms of a configuration.
const (
	formIntent   = "intent"
	formPlatform = "platform"
)

// checkReport is the JSON output of a check.
type checkReport struct {
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

// checkOptions are the flags of the check.
type checkOptions struct {
	form, inForce string
	regions       []string
	strict        bool
}

func (a *app) checkCommand() *cobra.Command {
	var o checkOptions
	cmd := newCommand("check FILE", "Check a configuration before it is sent, without asking a router", cobra.ExactArgs(1), func(_ context.Context, args []string) error {
		return a.check(args[0], o)
	})
	cmd.Flags().StringVar(&o.form, "form", formIntent, "form of the files: intent, or platform for the document that the platform hands out")
	cmd.Flags().StringVar(&o.inForce, "in-force", "", "also list what differs from the configuration in this file")
	cmd.Flags().StringSliceVar(&o.regions, "regions", nil, "the known regions, as in the routers' settings; homes are compared with them")
	cmd.Flags().BoolVar(&o.strict, "strict", false, "exit code 1 on warnings")
	return cmd
}

func (a *app) check(name string, o checkOptions) error {
	if o.form != formIntent && o.form != formPlatform {
		return badInput(errors.Newf("unknown form %q", o.form))
	}
	if name == "-" && o.inForce == "-" {
		return badInput(errors.New("only one of the files can be standard input"))
	}
	cfg := configcheck.DefaultConfig()
	cfg.Regions = o.regions
	if err := cfg.Validate(); err != nil {
		return badInput(err)
	}
	data, err := a.readFile(name)
	if err != nil {
		return err
	}
	report := checkReport{Findings: findings(cfg, o.form, data)}
	if o.inForce != "" {
		inForce, err := a.readFile(o.inForce)
		if err != nil {
			return err
		}
		if report.Differences, err = differences(cfg, o.form, inForce, data); err != nil {
			return badInput(err)
		}
	}
	if err := a.printReport(report); err != nil {
		return err
	}
	return verdict(report.Findings, o.strict)
}

// findings checks a configuration with the decoder that routers use for its form.
func findings(cfg configcheck.Config, form string, data []byte) []configcheck.Finding {
	if form == formPlatform {
		in, err := platform.CheckInput(data)
		if err != nil {
			return []configcheck.Finding{configcheck.Unread(data, err)}
		}
		return configcheck.Check(cfg, in)
	}
	in, err := intent.Parse(data)
	if err != nil {
		return refusedFindings(err)
	}
	return configcheck.CheckDocument(&config.Document{Teams: in.Teams, Services: in.Services, Drain: in.Drain, Evacuate: in.Evacuate, Operators: in.Operators})
}

// differences lists what the updated configuration changes. An updated one that routers
// refuse has none; why is among its findings.
func differences(cfg configcheck.Config, form string, old, updated []byte) ([]configcheck.Difference, error) {
	isRefused := func(f configcheck.Finding) bool { return f.Code == configcheck.Refused }
	if slices.ContainsFunc(findings(cfg, form, old), isRefused) {
		return nil, errors.New("routers refuse the configuration that is said to be in force; check it by itself")
	}
	if slices.ContainsFunc(findings(cfg, form, updated), isRefused) {
		return nil, nil
	}
	if form == formPlatform {
		return platformDifferences(old, updated)
	}
	before, err := parseDocument(old)
	if err != nil {
		return nil, err
	}
	after, err := parseDocument(updated)
	if err != nil {
		return nil, err
	}
	return configcheck.CompareDocuments(before, after), nil
}

func platformDifferences(old, updated []byte) ([]configcheck.Difference, error) {
	before, err := platform.CheckInput(old)
	if err != nil {
		return nil, err
	}
	after, err := platform.CheckInput(updated)
	if err != nil {
		return nil, err
	}
	return configcheck.Compare(before.Config, after.Config, after.Fields), nil
}

// verdict returns the error that leads to the exit code.
func verdict(found []configcheck.Finding, strict bool) error {
	counts := map[configcheck.Severity]int{}
	for _, f := range found {
		counts[f.Severity]++
	}
	errorCount, warnings := counts[configcheck.Error], counts[configcheck.Warning]
	switch {
	case errorCount > 0:
		return badInput(errors.Newf("%d errors, %d warnings", errorCount, warnings))
	case strict && warnings > 0:
		return errors.Newf("%d warnings", warnings)
	default:
		return nil
	}
}

func (a *app) printReport(r checkReport) error {
	if a.format == formatJSON {
		if r.Findings == nil {
			r.Findings = []configcheck.Finding{}
		}
		return a.printJSON(r)
	}
	for _, f := range r.Findings {
		a.printLine("%s %s %s %s: %s", f.Severity, f.Code, f.Place, entryText(f.Kind, f.Name), f.Message)
	}
	for _, d := range r.Differences {
		a.printLine("%s", differenceText(d))
	}
	if len(r.Findings) == 0 {
		a.printLine("No findings.")
	}
	return nil
}

func entryText(kind configcheck.Kind, name string) string {
	if name == "" {
		return string(kind)
	}
	return string(kind) + " " + name
}

func differenceText(d configcheck.Difference) string {
	fields := make([]string, len(d.Fields))
	for i, f := range d.Fields {
		fields[i] = f.Field + " " + orNone(f.Old) + " -> " + orNone(f.New)
	}
	text := string(d.Change) + " " + entryText(d.Kind, d.Name)
	if len(fields) > 0 {
		text += ": " + strings.Join(fields, "; ")
	}
	return text
}
