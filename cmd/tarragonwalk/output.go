package main

import (
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/apiclient"
)

// target holds the flags that select the entry instance to call and the key to use.
type target struct {
	URL  string `long:"url" env:"TARRAGONWALK_URL" default:"http://127.0.0.1:8080" description:"Base URL of the instance's API"`
	Key  string `long:"key" env:"TARRAGONWALK_KEY" description:"Bearer key"`
	CA   string `long:"ca" env:"TARRAGONWALK_CA" description:"PEM file with the roots to trust in place of the system's"`
	JSON bool   `long:"json" description:"Print JSON for scripts"`
}

// client returns a client of the instance.
func (t *target) client() (*apiclient.Client, error) {
	c := apiclient.New(t.URL, t.Key)
	if t.CA == "" {
		return c, nil
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInvalid, "cannot read "+t.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fault.New(fault.CodeInvalid, t.CA+" holds no PEM certificate")
	}
	c.TrustRoots(roots)

	return c, nil
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot write the answer")
	}

	return nil
}

func printRaw(answer []byte) error {
	var v any
	if err := json.Unmarshal(answer, &v); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "the instance sent an answer that is not JSON")
	}

	return printJSON(v)
}

func printTable(header table.Row, rows []table.Row) {
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(header)
	w.AppendRows(rows)
	w.Render()
}

func writeOut(path string, content []byte) error {
	if path == "" || path == "-" {
		fmt.Print(string(content))

		return nil
	}
	const ownerOnly = 0o600
	if err := os.WriteFile(path, content, ownerOnly); err != nil {
		return fault.Wrap(err, fault.CodeInvalid, "cannot write "+path)
	}

	return nil
}
