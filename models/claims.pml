/*
 * The claims protocol for one idempotency key: three VM processes for two tries of
 * a caller, and one object with conditional updates whose replies can be lost or
 * late. A process can pause at any step.
 *
 * Checked: the order runs at most once; after a try is answered with not_run,
 * neither it nor an earlier try runs. With -DBROKEN the update ignores the
 * version, like a store without conditional updates; the check must fail.
 */
#define NONE 0
#define CLAIMED 1
#define DONE 2
#define NOT_RUN 3

byte version = 0;
byte state = NONE;
byte claim_nonce = 0;
byte claim_try = 0;
byte runs = 0;
byte answered_not_run = 0; /* the highest try answered with not_run */
byte last_run_try = 0;

/* One conditional update; ok is true if it took effect. */
inline update(expected, new_state, new_nonce, new_try, ok)
{
	atomic {
#ifdef BROKEN
		ok = true;
#else
		ok = (version == expected);
#endif
		if
		:: ok -> version++; state = new_state; claim_nonce = new_nonce; claim_try = new_try
		:: else -> skip
		fi
	}
}

/* The VM that handles one try; its unique number is its nonce. */
proctype vm(byte number; byte try)
{
	byte seen_version, seen_state, seen_nonce, seen_try;
	bool ok, granted = false;

read:
	atomic { seen_version = version; seen_state = state; seen_nonce = claim_nonce; seen_try = claim_try }
	if
	:: seen_state == CLAIMED && seen_nonce == number -> granted = true /* its own claim: the reply was lost */
	:: seen_state == CLAIMED && seen_nonce != number -> goto unknown
	:: seen_state == DONE -> goto finished
	:: seen_state == NOT_RUN && seen_try >= try -> goto refused
	:: else ->
		update(seen_version, CLAIMED, number, try, ok);
		if
		:: ok -> granted = true
		:: ok -> goto read     /* the reply is lost: read again */
		:: !ok -> goto read
		fi
	fi;
	if
	:: granted ->
		if
		:: /* sent once */
			atomic {
				runs++;
				last_run_try = try;
				assert(runs <= 1);
				assert(answered_not_run < try)
			};
record:
			atomic { seen_version = version; ok = (state == CLAIMED && claim_nonce == number) };
			if
			:: ok ->
				update(seen_version, DONE, number, try, ok);
				if
				:: ok -> skip
				:: else -> goto record
				fi
			:: else -> skip
			fi
		:: skip; /* shed before it was sent: record not_run, then answer */
release:
			atomic { seen_version = version; ok = (state == CLAIMED && claim_nonce == number) };
			if
			:: ok ->
				update(seen_version, NOT_RUN, number, try, ok);
				if
				:: ok -> goto refused
				:: else -> goto release
				fi
			:: else -> skip
			fi
		:: /* the VM fails: the claim has no outcome */
			goto unknown
		fi
	fi;
	goto finished;
refused:
	atomic { answered_not_run = (try > answered_not_run -> try : answered_not_run); assert(last_run_try == 0 || last_run_try > try) };
unknown:
finished:
	skip
}

init
{
	atomic { run vm(1, 1); run vm(2, 2); run vm(3, 2) }
}
