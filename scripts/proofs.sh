#!/usr/bin/env bash
# Runs the tests that prove each guarantee in docs/PROOFS.md and prints a line for
# each: proof: NAME ok|FAIL. A line of a partly proved guarantee says so. The tests
# run with the invariants tag, whose checks panic. Exits with 1 if a proof fails.
set -uo pipefail
cd "$(dirname "$0")/.."

# NAME | ok or partly, as in docs/PROOFS.md | packages | tests
PROOFS='
one-snapshot|ok|core/scatter|TestQueryInFakeWorld|TestWorldRejectsNaiveQueries|TestScripts|TestQueryFindsTheCommonSnapshot
true-coverage|ok|core/scatter|TestQueryInFakeWorld|TestWorldRejectsNaiveQueries
cold-start|partly|core/routing upstream|TestSumsHold|TestSumsFailWithout|TestLoans.*|TestSilentColdIsBounded|TestModelColdStart.*|TestCallPickedBeforeARestart|TestFirstConnectionIsForTrials|TestLossOfTheLastConnectionIsReported
zone-out|ok|core/routing|TestDrainActsAtNextPick|TestPausedVMSendsNothingToDrainedZone|TestPickRefusesOldView|TestScripts
key-owner|ok|caller|TestRefusals
key-hidden|partly|core/keys caller|TestCarriesEscaped|TestNaiveDetector|TestRefusals
key-withdrawn|ok|caller|TestWithdrawnKeyOnKeptConnection
quota|ok|core/quota core/lease|TestRapidCurve|TestRapidNaiveFail|TestLender.*|TestTimingRelations|TestRapidOneHolder.*
whole-answer|ok|upstream core/scatter|TestOutcomes|TestShortAnswerIsDiscarded|TestBytesWithoutRequest|TestQueryInFakeWorld
true-not-run|ok|upstream core/scatter|TestConnectRefusedIsNotRun|TestCancel.*|TestOutcomes|TestQueryInFakeWorld|TestWorldRejectsNaiveQueries
at-most-once|ok|core/scatter upstream|TestQueryInFakeWorld|TestWorldRejectsNaiveQueries|TestClosedIdleConnectionIsNotUsed
leaving-upstream|ok|core/routing|TestDrainActsAtNextPick|TestScripts
graceful-shutdown|ok|caller standin/load|TestDrainCutsNoRequest|TestCheckerFindsEachFlaw
configuration|ok|core/catalog core/dissemination|TestAcceptorAgainstOracle|TestNaivePolicies|TestConvergesUnderFaults|TestReplacedDuringStaleSpell|TestRestartDuringOutage|TestOutageStopsNothing|TestForgettingGoesBack
all-together|ok|soak|TestNothingIsViolated|TestChecksBite|TestSameSeedSameLine
'

failed=0
while IFS='|' read -r name status packages tests; do
	[ -n "$name" ] || continue
	paths=()
	for p in $packages; do
		paths+=("./internal/$p")
	done
	listed=$(go test -list . "${paths[@]}")
	missing=""
	for t in ${tests//|/ }; do
		grep -qE "^$t\$" <<<"$listed" || missing+=" $t"
	done
	if [ -n "$missing" ]; then
		failed=1
		echo "no such test:$missing"
		echo "proof: $name FAIL"
		continue
	fi
	if out=$(go test -tags invariants "${paths[@]}" -run "^($tests)\$" 2>&1); then
		note=""
		[ "$status" = ok ] || note=" ($status, see docs/PROOFS.md)"
		echo "proof: $name ok$note"
	else
		failed=1
		echo "$out" | tail -20
		echo "proof: $name FAIL"
	fi
done <<<"$PROOFS"
exit $failed
