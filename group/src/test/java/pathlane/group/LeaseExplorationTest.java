package pathlane.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Guards against two controllers that act on one call. Explores every order in which leases are renewed, lapse and end,
 * shards are claimed, replies are lost, and processes are suspended, resumed, killed and restarted, for 3 controllers and 2
 * calls, over the real {@link LeaseRegistry} and {@link LeaseTerms}. Time advances in steps, up to two lease lengths.
 */
class LeaseExplorationTest {

    private static final LeaseTerms TERMS = new LeaseTerms(Duration.ofMillis(1000), 0.1, Duration.ofMillis(100));
    private static final int STEP_MILLIS = 400;
    private static final int END_MILLIS = 2000;
    private static final int CONTROLLERS = 3;
    /** The shard of each call; both calls belong to the first controller. */
    private static final int[] SHARDS_OF_CALLS = {3, 200};
    private static final int MAX_STATES = 3_000_000;

    /** The safeguard that is left out, to verify that the exploration detects its absence. */
    private enum Omission {
        NONE, EXPIRY_DELAY, VALIDITY_CHECK, CLAIM_AGREEMENT, RECLAIM_AGREEMENT
    }

    /** The records are entries TOKEN:CALL: the lease under which a record of a call exists. */
    private record State(int nowMillis, byte[] registryBytes, List<Controller> controllers, Set<String> inFlight,
            boolean hasRestarted, Set<String> records) {

        HashValue128 key() {
            byte[] rest =
                    (nowMillis + "" + controllers + inFlight + hasRestarted + records).getBytes(StandardCharsets.UTF_8);
            return Hashing.murmur3_128().hashStream().putBytes(registryBytes).putBytes(rest).get();
        }
    }

    /**
     * A controller.
     *
     * @param validUntilMillis the time from which its lease is no longer valid, by its own clock, which has no drift here
     * @param ownedCalls the calls that it believes it owns
     */
    private record Controller(long token, int validUntilMillis, int renewalNumber, boolean isSuspended, boolean isDead,
            Set<Integer> ownedCalls) {}

    private int exploredStates;
    private String violation;

    private void explore(Omission omission) {
        LeaseRegistry registry = new LeaseRegistry();
        List<Controller> controllers = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            Reply.Granted granted = (Reply.Granted) registry.apply(join(i, 1, 0));
            controllers.add(
                    new Controller(granted.token(), validForMillis(), 0, false, false, i == 0 ? new TreeSet<>(List.of(0, 1))
                            : new TreeSet<>()));
        }
        for (Controller controller : controllers) {
            registry.apply(new Command.Replicated(controller.token, registry.view()));
        }
        Deque<State> unexplored = new ArrayDeque<>();
        Set<HashValue128> visited = new HashSet<>();
        addIfNew(new State(0, RegistryCodec.encode(registry), controllers, new TreeSet<>(), false,
                new TreeSet<>(List.of("1:0", "1:1"))), unexplored, visited);
        while (!unexplored.isEmpty() && violation == null) {
            State state = unexplored.pop();
            exploredStates++;
            checkSingleActor(state, omission);
            nextStates(state, omission).forEach(nextState -> addIfNew(nextState, unexplored, visited));
            assertTrue(exploredStates < MAX_STATES, "too many states");
        }
    }

    private static void addIfNew(State state, Deque<State> unexplored, Set<HashValue128> visited) {
        if (visited.add(state.key())) {
            unexplored.push(state);   // depth first, which keeps the number of unexplored states small
        }
    }

    private static int validForMillis() {
        return (int) TERMS.validFor().toMillis();
    }

    private static Command.Join join(int index, long incarnation, long previousToken) {
        return new Command.Join("n" + index, incarnation, "127.0.0.1:" + (7000 + index), previousToken, 2, false);
    }

    /** The states that each possible next event leads to. */
    private List<State> nextStates(State state, Omission omission) {
        List<State> nextStates = new ArrayList<>();
        if (state.nowMillis < END_MILLIS) {
            nextStates.add(new State(state.nowMillis + STEP_MILLIS, state.registryBytes, state.controllers, state.inFlight,
                    state.hasRestarted, state.records));
        }
        LeaseRegistry registry = RegistryCodec.decodeRegistry(state.registryBytes);
        for (int i = 0; i < CONTROLLERS; i++) {
            Controller controller = state.controllers.get(i);
            if (controller.isDead) {
                if (!state.hasRestarted) {
                    nextStates.add(restart(state, i));
                }
                continue;
            }
            if (i == 0) {
                // Only the owner of the calls is suspended in this model; the owner and one successor may die.
                nextStates.add(withController(state, i,
                        new Controller(controller.token, controller.validUntilMillis, controller.renewalNumber,
                                !controller.isSuspended, false, controller.ownedCalls)));
            }
            // Deaths multiply the number of states; reclaiming without agreement fails without any.
            if (i < 2 && omission != Omission.RECLAIM_AGREEMENT) {
                nextStates.add(withController(state, i, new Controller(controller.token, controller.validUntilMillis,
                        controller.renewalNumber, false, true, Set.of())));
            }
            if (!controller.isSuspended && controller.token != 0) {
                // A renewal is sent now and is applied at any later time, or never.
                if (controller.renewalNumber < 1 && i < 2) {
                    Set<String> inFlight = new TreeSet<>(state.inFlight);
                    inFlight.add("renew " + i + " " + controller.token + " " + (controller.renewalNumber + 1) + " "
                            + state.nowMillis);
                    nextStates.add(new State(state.nowMillis, state.registryBytes,
                            replace(state.controllers, i, new Controller(controller.token,
                                    controller.validUntilMillis, controller.renewalNumber + 1, false, false,
                                    controller.ownedCalls)),
                            inFlight, state.hasRestarted, state.records));
                }
                addClaims(state, registry, i, omission, nextStates);
            }
        }
        for (String message : state.inFlight) {
            addDeliveries(state, message, omission, nextStates);
        }
        for (Member member : registry.members()) {
            addExpiry(state, registry, member, omission, nextStates);
        }
        return nextStates;
    }

    private State restart(State state, int index) {
        LeaseRegistry registry = RegistryCodec.decodeRegistry(state.registryBytes);
        Reply.Granted granted = (Reply.Granted) registry.apply(join(index, 2, 0));
        return new State(state.nowMillis, RegistryCodec.encode(registry), replace(state.controllers, index,
                new Controller(granted.token(), state.nowMillis + validForMillis(), 2, false, false, Set.of())),
                state.inFlight, true, state.records);
    }

    private void addClaims(State state, LeaseRegistry registry, int index, Omission omission, List<State> nextStates) {
        Controller controller = state.controllers.get(index);
        boolean isLeaseValid = state.nowMillis < controller.validUntilMillis;
        if (!isLeaseValid && omission != Omission.VALIDITY_CHECK) {
            return;
        }
        for (OrphanedShards orphan : registry.orphans()) {
            for (int call = 0; call < SHARDS_OF_CALLS.length; call++) {
                long owner = orphan.formerOwner().token();
                if (!state.records.contains(owner + ":" + call)
                        || !orphan.owners().containsKey(SHARDS_OF_CALLS[call])
                        || registry.successors(orphan, SHARDS_OF_CALLS[call]).stream()
                                .noneMatch(successor -> successor.token() == controller.token)) {
                    continue;
                }
                LeaseRegistry changed = RegistryCodec.decodeRegistry(state.registryBytes);
                Reply.Owned owned =
                        (Reply.Owned) changed.apply(new Command.Claim(controller.token, orphan.formerOwner().token(),
                                List.of(SHARDS_OF_CALLS[call])));
                if (owned.shards().contains(SHARDS_OF_CALLS[call]) || omission == Omission.CLAIM_AGREEMENT) {
                    // A call that a previous owner has adopted belongs to that owner's own records.
                    int currentCall = call;
                    boolean isInPreviousOwnersRecords =
                            orphan.previousOwners(SHARDS_OF_CALLS[call]).stream()
                                    .anyMatch(previousOwner -> registry.orphan(previousOwner).isPresent()
                                            && state.records.contains(previousOwner + ":" + currentCall));
                    Set<Integer> ownedCalls = new TreeSet<>(controller.ownedCalls);
                    Set<String> records = new TreeSet<>(state.records);
                    if (!isInPreviousOwnersRecords) {
                        ownedCalls.add(call);
                        records.add(controller.token + ":" + call);
                    }
                    nextStates.add(new State(state.nowMillis, RegistryCodec.encode(changed),
                            replace(state.controllers, index, new Controller(controller.token,
                                    controller.validUntilMillis, controller.renewalNumber, false, false, ownedCalls)),
                            state.inFlight, state.hasRestarted, records));
                }
            }
        }
    }

    /** A renewal is applied now; its reply arrives or is lost. */
    private void addDeliveries(State state, String message, Omission omission, List<State> nextStates) {
        String[] parts = message.split(" ");
        int index = Integer.parseInt(parts[1]);
        long token = Long.parseLong(parts[2]);
        LeaseRegistry registry = RegistryCodec.decodeRegistry(state.registryBytes);
        Reply.Ended ended = (Reply.Ended) registry.apply(new Command.Renew(List.of(new Command.Renewal(token,
                Long.parseLong(parts[3])))));
        byte[] bytes = RegistryCodec.encode(registry);
        Set<String> inFlight = new TreeSet<>(state.inFlight);
        inFlight.remove(message);
        nextStates.add(new State(state.nowMillis, bytes, state.controllers, inFlight, state.hasRestarted, state.records));
        Controller controller = state.controllers.get(index);
        if (!controller.isDead && !controller.isSuspended && controller.token == token) {
            Controller notified = ended.tokens().contains(token)
                    ? new Controller(0, 0, controller.renewalNumber, false, false, Set.of())
                    : new Controller(token,
                            Math.max(controller.validUntilMillis, Integer.parseInt(parts[4]) + validForMillis()),
                            controller.renewalNumber, false, false, controller.ownedCalls);
            nextStates.add(new State(state.nowMillis, bytes, replace(state.controllers, index, notified), inFlight,
                    state.hasRestarted, state.records));
            if (ended.tokens().contains(token) && index == 0) {
                nextStates.add(reclaim(state, registry, controller, inFlight, omission));
            }
        }
    }

    /** The owner learns that its lease has ended, joins again, and reclaims the unclaimed shards. */
    private State reclaim(State state, LeaseRegistry registry, Controller controller, Set<String> inFlight,
            Omission omission) {
        LeaseRegistry changed = RegistryCodec.decodeRegistry(RegistryCodec.encode(registry));
        Reply.Granted granted = (Reply.Granted) changed.apply(join(0, 1, controller.token));
        Set<Integer> ownedCalls = new TreeSet<>();
        for (int call : controller.ownedCalls) {
            Reply.Owned owned =
                    (Reply.Owned) changed
                            .apply(new Command.Reclaim(granted.token(), controller.token, List.of(SHARDS_OF_CALLS[call])));
            if (owned.shards().contains(SHARDS_OF_CALLS[call]) || omission == Omission.RECLAIM_AGREEMENT) {
                ownedCalls.add(call);
            }
        }
        return new State(state.nowMillis, RegistryCodec.encode(changed),
                replace(state.controllers, 0, new Controller(granted.token(),
                        state.nowMillis + validForMillis(), 2, false, false, ownedCalls)),
                inFlight, state.hasRestarted, state.records);
    }

    /** The leader expires a lease once the expiry delay has passed since it applied the last renewal. */
    private void addExpiry(State state, LeaseRegistry registry, Member member, Omission omission, List<State> nextStates) {
        long renewalNumber = registry.renewals(member.token());
        int appliedAtMillis = renewalAppliedAtMillis(state, member, renewalNumber);
        if (omission != Omission.EXPIRY_DELAY
                && state.nowMillis - appliedAtMillis <= TERMS.expireAfter().toMillis()) {
            return;
        }
        LeaseRegistry changed = RegistryCodec.decodeRegistry(state.registryBytes);
        changed.apply(new Command.Expire(member.token(), renewalNumber));
        nextStates.add(new State(state.nowMillis, RegistryCodec.encode(changed), state.controllers, state.inFlight,
                state.hasRestarted, state.records));
    }

    /** The earliest time at which the renewal can have been applied, the worst case: the time at which it was sent. */
    private static int renewalAppliedAtMillis(State state, Member member, long renewalNumber) {
        if (renewalNumber == 0) {
            return member.token() <= CONTROLLERS ? 0 : state.nowMillis;   // later leases are not expired in this model
        }
        for (Controller controller : state.controllers) {
            if (controller.token == member.token()) {
                // The validity shows when the last renewal with a reply was sent; one without a reply was sent no earlier.
                return Math.max(0, controller.validUntilMillis - validForMillis());
            }
        }
        return state.nowMillis;
    }

    private static State withController(State state, int index, Controller controller) {
        return new State(state.nowMillis, state.registryBytes, replace(state.controllers, index, controller), state.inFlight,
                state.hasRestarted, state.records);
    }

    private static List<Controller> replace(List<Controller> controllers, int index, Controller controller) {
        List<Controller> replaced = new ArrayList<>(controllers);
        replaced.set(index, controller);
        return replaced;
    }

    /** A suspended process checks its lease and acts as soon as it resumes: it counts as one that would act now. */
    private void checkSingleActor(State state, Omission omission) {
        for (int call = 0; call < SHARDS_OF_CALLS.length; call++) {
            List<Integer> actingControllers = new ArrayList<>();
            for (int i = 0; i < CONTROLLERS; i++) {
                Controller controller = state.controllers.get(i);
                boolean isLeaseValid = state.nowMillis < controller.validUntilMillis || omission == Omission.VALIDITY_CHECK;
                if (!controller.isDead && controller.ownedCalls.contains(call) && isLeaseValid) {
                    actingControllers.add(i);
                }
            }
            if (actingControllers.size() > 1) {
                violation = "call " + call + " is acted on by " + actingControllers + " at " + state;
            }
        }
    }

    @Test
    void noOrderLetsTwoControllersActOnOneCall() {
        explore(Omission.NONE);
        assertEquals(null, violation);
        assertTrue(exploredStates > 10_000, () -> "only " + exploredStates + " states explored");
        System.out.println("lease exploration: " + exploredStates + " states");
    }

    @Test
    void omittedExpiryDelayIsDetected() {
        explore(Omission.EXPIRY_DELAY);
        assertFalse(violation == null);
    }

    @Test
    void omittedValidityCheckIsDetected() {
        explore(Omission.VALIDITY_CHECK);
        assertFalse(violation == null);
    }

    @Test
    void omittedReclaimAgreementIsDetected() {
        explore(Omission.RECLAIM_AGREEMENT);
        assertFalse(violation == null);
    }

    @Test
    void omittedClaimAgreementIsDetected() {
        explore(Omission.CLAIM_AGREEMENT);
        assertFalse(violation == null);
    }
}
