package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/io/apiclient"
)

type configCommand struct {
	Get      configGetCommand      `command:"get" description:"Print the configuration in force"`
	Patch    configPatchCommand    `command:"patch" description:"Change the configuration by a JSON merge patch"`
	Validate configValidateCommand `command:"validate" description:"Check a patch without applying it"`
}

type configGetCommand struct {
	target
}

// Execute prints a summary, or the whole document with --json.
func (c *configGetCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Get("/admin/v1/configuration")
	if err != nil {
		return err
	}
	if c.JSON {
		return printRaw(answer)
	}
	document := configuration.Configuration{}
	if err := apiclient.Decode(answer, &document); err != nil {
		return err
	}
	printTable(table.Row{"Part", "Count"}, []table.Row{
		{"Version", document.Version},
		{"Deployments", len(document.Deployments)},
		{"OnlineRoutes", len(document.OnlineRoutes)},
		{"BackendServers", len(document.BackendServers)},
		{"Workspaces", len(document.Workspaces)},
		{"Operators", len(document.Operators)},
	})

	return nil
}

type patchInput struct {
	BaseVersion int    `long:"base" required:"yes" description:"Number of the configuration that the patch was made against"`
	File        string `long:"file" required:"yes" description:"File with the JSON merge patch, - for standard input"`
}

func (p *patchInput) body() ([]byte, error) {
	text, err := readInput(p.File)
	if err != nil {
		return nil, err
	}
	if !json.Valid(text) {
		return nil, fault.New(fault.CodeInvalid, p.File+" is not JSON")
	}
	body, err := json.Marshal(configuration.Patch{
		BaseVersion: p.BaseVersion,
		Operation:   uuid.NewString(),
		Patch:       text,
	})
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the patch")
	}

	return body, nil
}

type configPatchCommand struct {
	target
	patchInput
}

// Execute sends the patch and prints the new configuration version.
func (c *configPatchCommand) Execute([]string) error {
	document := configuration.Configuration{}
	printed, err := c.send(&c.target, "/admin/v1/configuration/patches", &document)
	if err != nil || printed {
		return err
	}
	fmt.Printf("configuration version %d accepted\n", document.Version)

	return nil
}

type configValidateCommand struct {
	target
	patchInput
}

// Execute asks the instance to check the patch.
func (c *configValidateCommand) Execute([]string) error {
	printed, err := c.send(&c.target, "/admin/v1/configuration/validate", nil)
	if err != nil || printed {
		return err
	}
	fmt.Println("the patch is valid")

	return nil
}

// send posts the patch. It decodes the answer into v, or prints it and returns true if the JSON flag is set.
func (p *patchInput) send(t *target, path string, v any) (printed bool, err error) {
	body, err := p.body()
	if err != nil {
		return false, err
	}
	client, err := t.client()
	if err != nil {
		return false, err
	}
	answer, err := client.Post(path, body, nil)
	if err != nil {
		return false, err
	}
	if t.JSON {
		return true, printRaw(answer)
	}
	if v == nil {
		return false, nil
	}

	return false, apiclient.Decode(answer, v)
}

func readInput(path string) ([]byte, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = readAll(os.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInvalid, "cannot read "+path)
	}

	return text, nil
}
