package enforcer

import (
	"time"

	"limpetrail/matcher"
)

// Parts of Slack and Overrun that are used on purpose; see Settings.beyond and Settings.spare. What is left
// covers the sum of shares above 1 while gateways have heard of a change at different times, which
// grows with the cap and not with Slack. Two requests at each of eight gateways need 0.8 of Slack.
const (
	beyondOfSlack   = 0.8
	beyondOfOverrun = 0.2
	spareOfSlack    = 0.15
	spareOfOverrun  = 0.1
	// isolatedOfSlack is divided among the gateways for which others reserve nothing.
	isolatedOfSlack = 0.5
)

// Settings bound what the gateways together may admit beyond the caps. In every span of Window
// it is at most (rate x Window + burst) x (1 + Overrun) + Slack requests of a workspace.
type Settings struct {
	// Window is the span in which the bound must hold; 0 turns caps off.
	Window time.Duration
	// Overrun is the tolerated share above a cap.
	Overrun float64
	// Slack is the tolerated number of requests above a cap.
	Slack float64
}

// beyond is the number of requests above a cap that all gateways together may admit before they
// hear of each other.
func (settings Settings) beyond(limit matcher.Cap) float64 {
	return beyondOfSlack*settings.Slack + beyondOfOverrun*settings.overrun(limit)
}

// spare is the number of tokens that a bucket holds beyond the burst.
func (settings Settings) spare(limit matcher.Cap) float64 {
	return spareOfSlack*settings.Slack + spareOfOverrun*settings.overrun(limit)
}

// overrun is Overrun in requests in a window.
func (settings Settings) overrun(limit matcher.Cap) float64 {
	return settings.Overrun * (limit.PerSecond*settings.Window.Seconds() + max(1, limit.Burst))
}

// tolerated is the number of requests above a cap that a window may hold.
func (settings Settings) tolerated(limit matcher.Cap) float64 {
	return settings.Slack + settings.overrun(limit)
}
