package instance

import (
	"context"
)

// Stop shuts the instance down gracefully: it notifies peers and callers that it is leaving, returns batch work to the queue and
// releases its claims, lets requests in flight finish, and stops the parts that these need last. It returns when everything has
// stopped; the end of ctx cuts requests in flight.
func (i *Instance) Stop(ctx context.Context) error {
	i.log.Info("instance is leaving")
	i.exchanger.SetLeaving()
	i.exchanger.Announce(ctx)
	i.stopBatch()
	err := i.caller.Shutdown(ctx)
	if err != nil {
		i.log.Warn("requests were cut at the end of the stop deadline", "error", err)
	}
	i.batchTask.Wait()
	if e := i.operator.Shutdown(ctx); e != nil && err == nil {
		err = e
	}
	i.stopAll()
	i.log.Info("instance stopped")

	return err
}

// Kill stops all parts at once without releasing anything, as a crash of the process would.
func (i *Instance) Kill() {
	i.objects.Close()
	i.closeListeners()
	i.cancel()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.caller.Shutdown(expired)
	_ = i.operator.Shutdown(expired)
	i.stopAll()
}

func (i *Instance) stopAll() {
	i.cancel()
	i.closeListeners()
	i.node.Close()
	i.batchTask.Wait()
	i.tasks.Wait()
	i.engines.Close()
	i.services.Close()
	i.list.Close()
	i.objects.Close()
}
