/*
 * Settings dissemination: the platform accepts versions in order; one VM watches
 * it with possibly stale reads; VMs gossip; a replaced VM learns the settings from
 * its peer.
 *
 * Checked: the version in force on a VM never decreases during its lifetime. With
 * -DBROKEN a VM stores any version that it receives; the check must fail.
 */
#define VERSIONS 3

byte accepted = 0;
byte in_force[2];

inline take(vm, offered)
{
	atomic {
#ifdef BROKEN
		if
		:: offered != 0 ->
#else
		if
		:: offered > in_force[vm] ->
#endif
			in_force[vm] = offered
		:: else -> skip
		fi
	}
}

active proctype operator()
{
	do
	:: accepted < VERSIONS -> accepted++
	:: accepted == VERSIONS -> break
	od
}

/* The watch may return an outdated version. */
active proctype watch()
{
	byte answer, steps = 0;

	do
	:: steps < 5 ->
		steps++;
		atomic {
			answer = accepted;
			if
			:: answer > 1 -> answer--
			:: true -> skip
			fi
		};
		take(0, answer)
	:: steps == 5 -> break
	od
}

/* A message may carry a version that is outdated when it arrives. */
proctype gossip(byte from; byte to)
{
	byte message, steps = 0;

	do
	:: steps < 4 ->
		steps++;
		message = in_force[from];
		take(to, message)
	:: steps == 4 -> break
	od
}

/* Observes VM 0, which is never replaced. */
active proctype monitor()
{
	byte last = 0, steps = 0;

	do
	:: steps < 6 ->
		steps++;
		atomic { assert(in_force[0] >= last); last = in_force[0] }
	:: steps == 6 -> break
	od
}

/* A replaced VM starts without settings; this is not a reversion. */
active proctype replace()
{
	in_force[1] = 0
}

init
{
	atomic { run gossip(0, 1); run gossip(1, 0) }
}
