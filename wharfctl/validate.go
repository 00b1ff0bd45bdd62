package main

import "ragwortwharf.dev/wharf/wharfconfig"

// validateCommand checks configuration files without publishing them.
type validateCommand struct {
	Files []string `arg:"" help:"Configuration files."`
}

// Run reports all issues of the files together.
func (c *validateCommand) Run(t *terminal) error {
	docs, issues := readFiles(c.Files)
	issues = append(issues, wharfconfig.Validate(docs, nil)...)
	if len(issues) > 0 {
		return invalid(issues)
	}
	t.printf("%d documents are valid\n", len(docs))
	return nil
}
