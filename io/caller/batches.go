package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v2"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/io/openai"
)

const (
	// maxWindow bounds the completion window. Month-end batches are due within days; a longer window is more likely to be
	// given in the wrong unit.
	maxWindow       = 7 * 24 * time.Hour
	metadataEntries = 16
	metadataBytes   = 512
	listDefault     = 20
	listMax         = 100
)

func (s *Server) submit(c *fiber.Ctx) error {
	q, err := decodeBatch(c.Body())
	if err != nil {
		return err
	}
	g := s.holder.Current()
	window := time.Duration(g.Batch.WindowMillis) * time.Millisecond
	if q.CompletionWindow != "" {
		window, err = time.ParseDuration(q.CompletionWindow)
	}
	if err != nil || window <= 0 || window > maxWindow {
		return invalid("completion_window", "must be a positive duration of at most "+maxWindow.String())
	}
	key := c.Get("Idempotency-Key")
	if key != "" && !validName(key) {
		return invalid("Idempotency-Key", "must be 1 to 128 printable ASCII characters")
	}
	ctx, cancel := context.WithTimeout(s.base, storeTimeout)
	defer cancel()
	f, err := s.store.GetFile(ctx, workspace(c), q.InputFileID)
	if err != nil {
		return err
	}
	if f.Items > g.Batch.MaxItems {
		return fault.New(fault.CodeTooLarge, fmt.Sprintf("a batch has at most %d items", g.Batch.MaxItems))
	}
	route, err := s.modelRoute(workspace(c), f.Model)
	if err != nil {
		return err
	}
	j, err := s.store.Submit(ctx, job.Submission{
		Workspace:      workspace(c),
		File:           f.ID,
		Deployment:     route.Deployment,
		Attempts:       g.Batch.Attempts,
		Deadline:       s.clock().Add(window),
		Window:         q.CompletionWindow,
		IdempotencyKey: key,
		Metadata:       job.SubmissionMetadata(q.Metadata),
	})
	if err != nil {
		return err
	}

	return c.JSON(batch(j))
}

func decodeBatch(body []byte) (openai.BatchRequest, error) {
	var q openai.BatchRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return q, fault.Wrap(err, fault.CodeInvalid, "malformed batch request: "+err.Error())
	}
	if q.InputFileID == "" {
		return q, invalid("input_file_id", "is required")
	}
	if len(q.Metadata) > metadataEntries {
		return q, invalid("metadata", "has more than 16 entries")
	}
	for k, v := range q.Metadata {
		if len(k) > metadataBytes || len(v) > metadataBytes {
			return q, invalid("metadata", "has an entry longer than 512 bytes")
		}
	}

	return q, nil
}

func (s *Server) getBatch(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(s.base, storeTimeout)
	defer cancel()
	j, err := s.store.GetJob(ctx, workspace(c), c.Params("id"))
	if err != nil {
		return err
	}

	return c.JSON(batch(j))
}

func (s *Server) cancelBatch(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(s.base, storeTimeout)
	defer cancel()
	j, err := s.store.Cancel(ctx, workspace(c), c.Params("id"))
	if err != nil {
		return err
	}

	return c.JSON(batch(j))
}

func (s *Server) listBatches(c *fiber.Ctx) error {
	limit := c.QueryInt("limit", listDefault)
	if limit < 1 || limit > listMax {
		return invalid("limit", "must be 1 to 100")
	}
	ctx, cancel := context.WithTimeout(s.base, storeTimeout)
	defer cancel()
	list, more, err := s.store.ListJobs(ctx, workspace(c), c.Query("after"), limit)
	if err != nil {
		return err
	}
	out := openai.BatchList{
		Object:  "list",
		Data:    make([]openai.Batch, 0, len(list)),
		HasMore: more,
	}
	for _, j := range list {
		out.Data = append(out.Data, batch(j))
	}

	return c.JSON(out)
}

func batch(s job.Status) openai.Batch {
	j := s.Job
	b := openai.Batch{
		ID:               j.ID,
		Object:           "batch",
		Endpoint:         string(job.ItemURLV1ChatCompletions),
		InputFileID:      j.File,
		CompletionWindow: j.Deadline.Sub(j.AcceptedAt).Round(time.Second).String(),
		Status:           string(j.State),
		CreatedAt:        int(j.AcceptedAt.Unix()),
		ExpiresAt:        int(j.Deadline.Unix()),
		RequestCounts: openai.RequestCounts{
			Total:     j.Items,
			Completed: s.Completed,
			Failed:    s.Failed,
		},
		Metadata: openai.BatchMetadata(j.Metadata),
	}
	if j.State == job.JobStateOpen {
		b.Status = "in_progress"

		return b
	}
	b.OutputFileID = outputPrefix + j.ID
	if j.EndedAt == nil {
		return b
	}
	switch j.State {
	case job.JobStateCompleted:
		b.CompletedAt = int(j.EndedAt.Unix())
	case job.JobStateCancelled:
		b.CancelledAt = int(j.EndedAt.Unix())
	}

	return b
}
