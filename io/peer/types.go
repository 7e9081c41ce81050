package peer

import "knapweedstall/core/message"

func init() {
	register[message.Hello](1)
	register[message.SubRequest](2)
	register[message.SubReply](3)
	register[message.CancelSub](4)
	register[message.TargetReport](5)
	register[message.Gossip](6)
	register[message.MemberList](7)
	register[message.TicketsRequest](8)
	register[message.Tickets](9)
	register[message.TableDigest](10)
	register[message.TableBuckets](11)
	register[message.Announce](12)
	register[message.LeaseRenewal](13)
	register[message.EntryNotice](14)
	register[message.EntryAck](15)
	register[message.EntryRead](16)
	register[message.EntryReadReply](17)
	register[message.RunRequest](18)
	register[message.RunReply](19)
	register[message.CanaryRequest](20)
	register[message.CanaryVerdict](21)
	register[message.CanaryNotice](22)
	register[message.NoticeAck](23)
	register[message.CanaryEnd](24)
	register[message.CanaryQuery](25)
	register[message.CrashReport](26)
	register[message.CrashRecords](27)
}
