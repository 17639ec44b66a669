package puller

import (
	"time"

	"limpetrail/executor"
	"limpetrail/messenger"
)

// finish notes the result of an item.
func (puller *Puller) finish(work *work, answer executor.Answer) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	puller.running--
	work.result = puller.result(work, answer)
	work.finished = time.Now()

	if puller.alone == work {
		puller.alone = nil
	}

	select {
	case puller.wake <- struct{}{}:
	default:
	}
}

// result builds the report of an answer, with the mutex held.
func (puller *Puller) result(work *work, answer executor.Answer) *messenger.ItemResult {
	result := &messenger.ItemResult{
		JobId:        work.key.jobID,
		Index:        work.key.index,
		Fate:         answer.LastFrame.GetFate(),
		Status:       answer.LastFrame.GetStatus(),
		Reason:       answer.LastFrame.GetReason(),
		FinishReason: answer.LastFrame.GetFinishReason(),
		PromptTokens: answer.LastFrame.GetPromptTokens(),
		Tokens:       uint32(answer.Tokens),
		Alone:        work.item.GetAlone(),
		Confirmed:    puller.healthy,
	}

	switch answer.LastFrame.GetFate() {
	case messenger.Fate_FATE_ANSWERED:
		puller.healthy = true
		puller.breaks = 0
		result.Body = answer.Body
	case messenger.Fate_FATE_NOT_RUN:
		if answer.LastFrame.GetUnreached() {
			puller.broke()
		}
	default:
		if work.returned {
			result.Fate = messenger.Fate_FATE_QUEUED

			break
		}

		// A backend server that refuses an item is well.
		if result.GetStatus() == 0 && !work.cancelled {
			puller.broke()
		}
	}

	if len(result.GetBody()) > puller.Settings.MaxResultBytes {
		result.Body = nil
		result.Reason = "the answer is larger than a result may be"
		result.Status = 0
	}

	return result
}

// broke pauses after a break of the backend server, with the mutex held. Items
// that ended in the same break count once.
func (puller *Puller) broke() {
	puller.healthy = false

	now := time.Now()
	if now.Before(puller.brokenUntil) {
		return
	}

	pause := min(puller.Settings.BreakFirst<<min(puller.breaks, 10), puller.Settings.BreakMost)
	puller.breaks++
	puller.brokenUntil = now.Add(pause)
}
