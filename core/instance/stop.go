package instance

import (
	"context"
)

// Stop shuts the instance down gracefully: peers and callers learn that it is leaving, batch work is put back and its
// claims are released, requests in flight finish, and the parts that they need stop last. It returns when all is
// stopped or ctx ends.
func (i *Instance) Stop(ctx context.Context) error {
	i.log.Info("instance is leaving")
	i.exchanger.SetLeaving()
	i.exchanger.Announce(ctx)
	i.stopBatch()
	err := i.caller.Shutdown(ctx)
	if err != nil {
		i.log.Warn("requests were cut by the end of the stop deadline", "error", err)
	}
	i.batchTask.Wait()
	if e := i.operator.Shutdown(ctx); e != nil && err == nil {
		err = e
	}
	i.end()
	i.log.Info("instance stopped")

	return err
}

// Kill ends all parts at once without releasing anything, as the loss of the process would.
func (i *Instance) Kill() {
	i.objects.Close()
	i.closeListeners()
	i.cancel()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.caller.Shutdown(expired)
	_ = i.operator.Shutdown(expired)
	i.end()
}

func (i *Instance) end() {
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
