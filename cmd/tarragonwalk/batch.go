package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/openai"
)

const (
	batchEndpoint = "/v1/chat/completions"
	batchesPath   = "/v1/batches"
	pollInterval  = 500 * time.Millisecond
)

type batchCommand struct {
	Submit  batchSubmitCommand  `command:"submit" description:"Upload a JSONL file and submit it as a job"`
	Status  batchStatusCommand  `command:"status" description:"Show a job, or all jobs of the workspace"`
	Wait    batchWaitCommand    `command:"wait" description:"Wait until a job ends"`
	Results batchResultsCommand `command:"results" description:"Write a job's results as JSONL"`
	Cancel  batchCancelCommand  `command:"cancel" description:"Cancel a job"`
}

type batchSubmitCommand struct {
	target
	Window         string `long:"window" default:"24h" description:"Time until the deadline"`
	IdempotencyKey string `long:"idempotency-key" description:"Names this run; a resend with the same key meets the same job"`
	Arguments      struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute uploads the file and submits the job.
func (c *batchSubmitCommand) Execute([]string) error {
	content, err := readInput(c.Arguments.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	file, err := client.Upload(filepath.Base(c.Arguments.File), content)
	if err != nil {
		return err
	}
	body, err := json.Marshal(openai.BatchRequest{
		InputFileID:      file.ID,
		Endpoint:         batchEndpoint,
		CompletionWindow: c.Window,
	})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the submission")
	}
	header := map[string]string{}
	if c.IdempotencyKey != "" {
		header["Idempotency-Key"] = c.IdempotencyKey
	}
	answer, err := client.Post(batchesPath, body, header)

	return c.showBatch(answer, err)
}

type jobArgument struct {
	Arguments struct {
		Job string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

type batchStatusCommand struct {
	target
	Arguments struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes"`
}

// Execute prints one job or the workspace's jobs.
func (c *batchStatusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Arguments.Job != "" {
		answer, err := client.Get(apiclient.Path(batchesPath, c.Arguments.Job))

		return c.showBatch(answer, err)
	}
	answer, err := client.Get(batchesPath)
	if err != nil {
		return err
	}
	if c.JSON {
		return printRaw(answer)
	}
	list := openai.BatchList{}
	if err := apiclient.Decode(answer, &list); err != nil {
		return err
	}
	printBatches(list.Data)

	return nil
}

type batchWaitCommand struct {
	target
	jobArgument
	Timeout time.Duration `long:"timeout" default:"24h" description:"Give up after this time"`
}

// Execute polls the job until it ends and shows a progress bar on a terminal.
func (c *batchWaitCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Timeout)
	var bar *progressbar.ProgressBar
	for {
		answer, err := client.Get(apiclient.Path(batchesPath, c.Arguments.Job))
		if err != nil {
			return err
		}
		batch := openai.Batch{}
		if err := apiclient.Decode(answer, &batch); err != nil {
			return err
		}
		if bar == nil && term.IsTerminal(int(os.Stderr.Fd())) {
			bar = progressbar.Default(int64(batch.RequestCounts.Total), "items")
		}
		if bar != nil {
			_ = bar.Set(batch.RequestCounts.Completed + batch.RequestCounts.Failed)
		}
		if batch.Status != "in_progress" {
			return c.showBatch(answer, nil)
		}
		if time.Now().After(deadline) {
			return fault.New(fault.CodeDeadlinePassed, "the job has not ended in time")
		}
		time.Sleep(pollInterval)
	}
}

type batchResultsCommand struct {
	target
	jobArgument
	Output string `long:"output" short:"o" default:"-" description:"File to write, - for standard output"`
}

// Execute writes the results of a job that has ended.
func (c *batchResultsCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Get(apiclient.Path(batchesPath, c.Arguments.Job))
	if err != nil {
		return err
	}
	batch := openai.Batch{}
	if err := apiclient.Decode(answer, &batch); err != nil {
		return err
	}
	if batch.OutputFileID == "" {
		return fault.New(fault.CodeNotFound, "the job has no results yet, its status is "+batch.Status)
	}
	content, err := client.Get(apiclient.Path("/v1/files", batch.OutputFileID) + "/content")
	if err != nil {
		return err
	}

	return writeOut(c.Output, content)
}

type batchCancelCommand struct {
	target
	jobArgument
}

// Execute cancels a job; a job that has ended keeps its state.
func (c *batchCancelCommand) Execute([]string) error {
	path := apiclient.Path(batchesPath, c.Arguments.Job) + "/cancel"
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Post(path, nil, nil)

	return c.showBatch(answer, err)
}

func (t *target) showBatch(answer []byte, err error) error {
	if err != nil {
		return err
	}
	if t.JSON {
		return printRaw(answer)
	}
	batch := openai.Batch{}
	if err := apiclient.Decode(answer, &batch); err != nil {
		return err
	}
	printBatches([]openai.Batch{batch})

	return nil
}

func printBatches(batches []openai.Batch) {
	rows := []table.Row{}
	for _, b := range batches {
		n := b.RequestCounts
		rows = append(rows, table.Row{
			b.ID, b.Status, fmt.Sprintf("%d/%d", n.Completed+n.Failed, n.Total), n.Failed,
			time.Unix(int64(b.ExpiresAt), 0).UTC().Format(time.RFC3339),
		})
	}
	printTable(table.Row{"Job", "Status", "Items", "Failed", "Deadline"}, rows)
}

func readAll(r io.Reader) ([]byte, error) {
	const limit = 1 << 30

	return io.ReadAll(io.LimitReader(r, limit))
}
