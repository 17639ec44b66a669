package puller

import (
	"time"

	"limpetrail/executor"
	"limpetrail/messenger"
)

// recordResult stores the result of an item and wakes runReports.
func (puller *Puller) recordResult(pulled *pulledItem, answer executor.Answer) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	puller.runningCount--
	pulled.result = puller.buildResult(pulled, answer)
	pulled.finishedAt = time.Now()

	if puller.exclusiveItem == pulled {
		puller.exclusiveItem = nil
	}

	select {
	case puller.wake <- struct{}{}:
	default:
	}
}

// buildResult converts an answer to an item's result, with the mutex held.
func (puller *Puller) buildResult(pulled *pulledItem, answer executor.Answer) *messenger.ItemResult {
	result := &messenger.ItemResult{
		JobId:        pulled.key.jobID,
		Index:        pulled.key.index,
		Fate:         answer.LastFrame.GetFate(),
		Status:       answer.LastFrame.GetStatus(),
		Reason:       answer.LastFrame.GetReason(),
		FinishReason: answer.LastFrame.GetFinishReason(),
		PromptTokens: answer.LastFrame.GetPromptTokens(),
		Tokens:       uint32(answer.Tokens),
		Alone:        pulled.item.GetAlone(),
		Confirmed:    puller.healthy,
	}

	switch answer.LastFrame.GetFate() {
	case messenger.Fate_FATE_ANSWERED:
		puller.healthy = true
		puller.consecutiveFailures = 0
		result.Body = answer.Body
	case messenger.Fate_FATE_NOT_RUN:
		if answer.LastFrame.GetUnreached() {
			puller.recordFailure()
		}
	default:
		if pulled.returned {
			result.Fate = messenger.Fate_FATE_QUEUED

			break
		}

		// An HTTP status means that the backend server answered and has not failed.
		if result.GetStatus() == 0 && !pulled.cancelled {
			puller.recordFailure()
		}
	}

	if len(result.GetBody()) > puller.Settings.MaxResultBytes {
		result.Body = nil
		result.Reason = "the answer is larger than a result may be"
		result.Status = 0
	}

	return result
}

// recordFailure pauses the puller after a failure of the backend server, with the
// mutex held. Items that fail during the pause count as the same failure.
func (puller *Puller) recordFailure() {
	puller.healthy = false

	now := time.Now()
	if now.Before(puller.pausedUntil) {
		return
	}

	pause := min(puller.Settings.BreakFirst<<min(puller.consecutiveFailures, 10), puller.Settings.BreakMost)
	puller.consecutiveFailures++
	puller.pausedUntil = now.Add(pause)
}
