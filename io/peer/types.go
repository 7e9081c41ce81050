package peer

import "knapweedstall/core/message"

func init() {
	register[message.Hello](1)
	register[message.SubRequest](2)
	register[message.SubReply](3)
	register[message.CancelSub](4)
	register[message.TargetReport](5)
}
