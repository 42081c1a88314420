package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/examples"
	"tarragonwalk/internal/fleet"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/openai"
	"tarragonwalk/io/standin/engine"
)

const (
	batchItems  = 1000
	batchesPath = "/v1/batches"
	failingItem = "sheet-bad"
	// cancelTarget is the target for the time from a cancel until no more items of the job start.
	cancelTarget = 4 * time.Second
	// runningItems is the number of items that have started before the cancel, so that there is work to stop.
	runningItems = 100
)

// buildSheets returns a batch file with the given number of items and the expected answer of each item. It repeats the
// example sheets with a number added to each prompt; one item contains failMarker and always fails.
func buildSheets(items int, run string) ([]byte, map[string]string, error) {
	text, err := examples.Files.ReadFile("sheets.jsonl")
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.CodeInternal, "cannot read an embedded example")
	}
	sheets, err := job.Items(text)
	if err != nil {
		return nil, nil, err
	}
	out := &bytes.Buffer{}
	answers := map[string]string{}
	for n := range items {
		item := sheets[n%len(sheets)]
		request := openai.ChatRequest{}
		if err := apiclient.Decode(item.Body, &request); err != nil {
			return nil, nil, err
		}
		item.CustomID = fmt.Sprintf("sheet-%04d", n)
		request.Messages[0].Content += fmt.Sprintf(" Sheet %d of %s.", n, run)
		if n == items/2 {
			item.CustomID = failingItem
			request.Messages[0].Content = "This sheet " + failMarker + " in " + run
		}
		answers[item.CustomID], _, _ = engine.Answer(&request)
		if item.Body, err = json.Marshal(request); err != nil {
			return nil, nil, fault.Wrap(err, fault.CodeInternal, "an example cannot be encoded")
		}
		line, err := json.Marshal(item)
		if err != nil {
			return nil, nil, fault.Wrap(err, fault.CodeInternal, "an example cannot be encoded")
		}
		out.Write(append(line, '\n'))
	}

	return out.Bytes(), answers, nil
}

func submit(c *apiclient.Client, content []byte, key string) (openai.Batch, error) {
	batch := openai.Batch{}
	file, err := c.Upload("sheets.jsonl", content)
	if err != nil {
		return batch, err
	}
	body, err := json.Marshal(openai.BatchRequest{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchRequestEndpointV1ChatCompletions,
		CompletionWindow: "1h",
	})
	if err != nil {
		return batch, fault.Wrap(err, fault.CodeInternal, "cannot encode the batch request")
	}
	answer, err := c.Post(batchesPath, body, map[string]string{
		"Idempotency-Key": key,
	})
	if err != nil {
		return batch, err
	}

	return batch, apiclient.Decode(answer, &batch)
}

func getBatch(c *apiclient.Client, id string) (openai.Batch, error) {
	batch := openai.Batch{}
	answer, err := c.Get(apiclient.Path(batchesPath, id))
	if err != nil {
		return batch, err
	}

	return batch, apiclient.Decode(answer, &batch)
}

func (d *Demo) runBatch(context.Context) (string, error) {
	content, answers, err := buildSheets(batchItems, "the gallery opening")
	if err != nil {
		return "", err
	}
	batch, err := submit(d.fleet.Caller("entry-3", garthDduKey), content, "gallery-opening")
	if err != nil {
		return "", err
	}
	d.fleet.Kill("entry-3")
	c := d.fleet.Caller("entry-1", garthDduKey)
	resent, err := submit(c, content, "gallery-opening")
	if err != nil {
		return "", err
	}
	if resent.ID != batch.ID {
		return "", failure("the resent submission created another job")
	}
	if err := fleet.Await(func() bool {
		batch, err = getBatch(c, batch.ID)

		return err == nil && batch.Status != "in_progress"
	}); err != nil {
		return "", failure("the batch did not end in time: %+v", batch.RequestCounts)
	}

	return d.checkResults(c, batch, answers)
}

func (d *Demo) checkResults(c *apiclient.Client, batch openai.Batch, answers map[string]string) (string, error) {
	content, err := c.Get(apiclient.Path("/v1/files", batch.OutputFileID) + "/content")
	if err != nil {
		return "", err
	}
	seen := map[string]int{}
	failed := 0
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		result := job.ItemResult{}
		if err := apiclient.Decode(lines.Bytes(), &result); err != nil {
			return "", err
		}
		seen[result.CustomID]++
		if result.CustomID == failingItem {
			failed++

			continue
		}
		if result.Response == nil || !strings.Contains(string(result.Response.Body), quoted(answers[result.CustomID])) {
			return "", failure("item %s has a wrong result", result.CustomID)
		}
	}
	for id := range answers {
		if seen[id] != 1 {
			return "", failure("item %s has %d results", id, seen[id])
		}
	}
	if len(seen) != len(answers) || batch.RequestCounts.Failed != failed {
		return "", failure("%d results, %d failed, but the batch counts %+v", len(seen), failed, batch.RequestCounts)
	}

	return fmt.Sprintf("%s: %d items with one result each, %d failed as expected", batch.Status, len(seen), failed), nil
}

func quoted(text string) string {
	b, _ := json.Marshal(text) //nolint:errchkjson // a string can always be encoded

	return string(b)
}

func (d *Demo) cancelBatch(context.Context) (string, error) {
	content, _, err := buildSheets(batchItems, "the cancelled run")
	if err != nil {
		return "", err
	}
	c := d.fleet.Caller("entry-1", garthDduKey)
	idle := d.startedStreams()
	batch, err := submit(c, content, "cancelled-run")
	if err != nil {
		return "", err
	}
	if err := fleet.Await(func() bool { return d.startedStreams() > idle+runningItems }); err != nil {
		return "", failure("the batch did not start in time")
	}
	if _, err := c.Post(apiclient.Path(batchesPath, batch.ID)+"/cancel", nil, nil); err != nil {
		return "", err
	}
	time.Sleep(cancelTarget)
	before := d.startedStreams()
	time.Sleep(time.Second)
	if after := d.startedStreams(); after != before {
		return "", failure("%d items started more than 4 s after the cancel", after-before)
	}
	batch, err = getBatch(c, batch.ID)
	if err != nil {
		return "", err
	}
	if batch.Status != "cancelled" {
		return "", failure("the cancelled batch has status %s", batch.Status)
	}

	if started := before - idle; started >= batchItems {
		return "", failure("all items had started before the cancel")
	}

	return fmt.Sprintf("%d of %d items had started, none after 4 s", before-idle, batchItems), nil
}

// startedStreams returns the number of streams that all engines have started so far.
func (d *Demo) startedStreams() int {
	n := 0
	for _, e := range d.fleet.Engines {
		for _, s := range e.Started() {
			n += s
		}
	}

	return n
}
