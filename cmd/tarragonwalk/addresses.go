package main

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"tarragonwalk/core/membership"
	"tarragonwalk/io/apiclient"
)

type addressCommand struct {
	target
}

// Execute prints the entry instances in order of preference.
func (c *addressCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Get("/v1/addresses")
	if err != nil {
		return err
	}
	if c.JSON {
		return printRaw(answer)
	}
	list := membership.AddressList{}
	if err := apiclient.Decode(answer, &list); err != nil {
		return err
	}
	rows := []table.Row{}
	for _, a := range list.Addresses {
		rows = append(rows, table.Row{a.Name, a.Zone, a.Region, a.Address, list.KeepUntil.Format(time.RFC3339)})
	}
	printTable(table.Row{"Instance", "Zone", "Region", "Address", "Keep until"}, rows)

	return nil
}

type statusCommand struct {
	target
}

// Execute prints the instance's status as JSON.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Get("/admin/v1/status")
	if err != nil {
		return err
	}

	return printRaw(answer)
}
