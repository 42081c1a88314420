package batch

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/io/openai"
)

const (
	// retryDelay and maxRetryDelay are the first and the longest delay between two runs of an item.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// admitPollInterval is how often a waiting item reads the number of batch slots, which changes without a notification.
	admitPollInterval = 50 * time.Millisecond
)

// itemRun holds an item and the tokens generated so far, so that a retry continues after the last token; admitErr is the error
// of the latest admission.
type itemRun struct {
	item     job.Item
	request  inference.Request
	model    string
	finish   string
	admitErr error
	attempts int
}

func (r *Runner) newRun(w *knownJob, number int, item job.Item) *itemRun {
	var body struct {
		Model               string `json:"model"`
		MaxTokens           int    `json:"max_tokens"`
		MaxCompletionTokens int    `json:"max_completion_tokens"`
	}
	// An error is ignored: the backend server rejects such a body, and the check of the input file decodes the model only.
	_ = json.Unmarshal(item.Body, &body)
	id := job.RequestID(w.open.ID, number)

	return &itemRun{
		item:  item,
		model: body.Model,
		request: inference.Request{
			Body:        item.Body,
			Class:       inference.ClassBatch,
			Deadline:    w.open.Deadline,
			Deployment:  w.open.Deployment,
			ID:          id,
			MaxTokens:   max(0, body.MaxTokens, body.MaxCompletionTokens),
			PromptBytes: len(item.Body),
			Stream:      job.StreamID(w.open.Workspace, id),
			Workspace:   w.open.Workspace,
		},
	}
}

// admit takes a batch slot once the runner's view of open jobs is fresh, a slot is free and no item has waited longer for one; it
// fails when the job or the item is stopped or the deadline has passed.
func (r *Runner) admit(ctx context.Context, w *knownJob) error {
	ticket := r.enqueue(w.open.Deployment)
	defer r.dequeue(w.open.Deployment, ticket)
	for {
		slots := r.dispatcher.BatchSlots(w.open.Deployment)
		r.mu.Lock()
		if w.ctx.Err() != nil {
			r.mu.Unlock()

			return errStopped
		}
		if ctx.Err() != nil {
			r.mu.Unlock()

			return stopCause(ctx)
		}
		first := r.waiting[w.open.Deployment][0] == ticket
		if first && r.fresh(r.now()) && r.running[w.open.Deployment] < slots {
			r.running[w.open.Deployment]++
			r.mu.Unlock()

			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		t := time.NewTimer(admitPollInterval)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// enqueue adds a ticket to the queue for the batch slots of a deployment.
func (r *Runner) enqueue(deployment string) (ticket int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickets++
	r.waiting[deployment] = append(r.waiting[deployment], r.tickets)

	return r.tickets
}

// dequeue removes a ticket and wakes the items behind it.
func (r *Runner) dequeue(deployment string, ticket int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.waiting[deployment]
	n := slices.Index(queue, ticket)
	queue = slices.Delete(queue, n, n+1)
	r.waiting[deployment] = queue
	if len(queue) > 0 {
		r.notify()
	}
}

// stopCause returns why ctx has ended: the job's deadline has passed, or the item was stopped.
func stopCause(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.CodeDeadlinePassed, "the job's deadline has passed")
	}

	return errStopped
}

// runItem runs an admitted item until it has a result; a stopped item has a result without an ID.
func (r *Runner) runItem(ctx context.Context, w *knownJob, e *itemRun) job.ItemResult {
	for pause := retryDelay; ; pause = min(2*pause, maxRetryDelay) {
		err := e.admitErr
		if err == nil {
			err = r.runOnce(ctx, w, e)
		}
		if err != nil && ctx.Err() != nil {
			err = stopCause(ctx)
		}
		if errors.Is(err, errStopped) && (ctx.Err() != nil || w.ctx.Err() != nil) {
			return job.ItemResult{}
		}
		switch classify(err) {
		case outcomeDone:
			return e.result()
		case outcomeFailed:
			return failedResult(e.request.ID, e.item.CustomID, err)
		case outcomeRetry:
			e.attempts++
			if e.attempts >= w.open.Attempts {
				return failedResult(e.request.ID, e.item.CustomID, err)
			}
		case outcomeWait:
			// Does not count as an attempt.
		}
		sleep(ctx, r.jitter(pause))
		e.admitErr = r.admit(ctx, w)
	}
}

// runOnce runs an item in its batch slot and frees the slot.
func (r *Runner) runOnce(ctx context.Context, w *knownJob, e *itemRun) error {
	began := r.now()
	// The dispatcher gets a copy, as the tokens generated so far change during the run.
	q := e.request
	err := r.dispatcher.Run(ctx, &q, e.event)
	if err == nil && e.finish == "" {
		err = fault.New(fault.CodeStreamLost, "the stream ended without a finish reason")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[w.open.Deployment]--
	if err == nil {
		old := r.itemTime[w.open.Deployment]
		took := r.now().Sub(began)
		if old == 0 {
			old = took
		}
		// Moving average with a weight of 1/8 for the latest run.
		r.itemTime[w.open.Deployment] = max(time.Microsecond, (7*old+took)/8)
	}
	r.notify()

	return err
}

// event appends the token of an event; a token at a known offset is skipped, and a gap in the offsets fails the run.
func (e *itemRun) event(v inference.Event) error {
	q := &e.request
	if v.Text != "" && v.Offset > q.Offset {
		if v.Offset != q.Offset+1 {
			return fault.New(fault.CodeStreamLost, "a token is missing in the stream")
		}
		q.Generated += v.Text
		q.Offset = v.Offset
	}
	if v.Finish != "" {
		e.finish = v.Finish
	}

	return nil
}

func (e *itemRun) result() job.ItemResult {
	body, err := json.Marshal(openai.ChatCompletion{
		ID:     "chatcmpl-" + e.request.ID,
		Object: "chat.completion",
		Model:  e.model,
		Choices: []openai.Choice{{
			FinishReason: e.finish,
			Message: openai.Message{
				Role:    "assistant",
				Content: e.request.Generated,
			},
		}},
		Usage: openai.Usage{
			CompletionTokens: e.request.Offset,
			TotalTokens:      e.request.Offset,
		},
	})
	if err != nil {
		return failedResult(e.request.ID, e.item.CustomID, fault.Wrap(err, fault.CodeInternal, "cannot encode the answer"))
	}

	return job.ItemResult{
		ID:       e.request.ID,
		CustomID: e.item.CustomID,
		Response: &job.ItemResponse{
			StatusCode: 200,
			RequestID:  e.request.ID,
			Body:       body,
		},
	}
}

func failedResult(id, custom string, err error) job.ItemResult {
	return job.ItemResult{
		ID:       id,
		CustomID: custom,
		Error: &job.ItemError{
			Code:    string(fault.CodeOf(err)),
			Message: err.Error(),
		},
	}
}
